#pragma once

#include "errors.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace baobabswitch {

/// What happens to a started process when the thread that started it ends, for whatever reason.
enum class parent_death_policy { keep_running, kill_child };

/// Starts a program with its standard output and error appended to a file. The child inherits no other
/// open file of this process. Fails with internal.
result<pid_t> start_process(const std::vector<std::string>& arguments, const std::string& log_file,
                            parent_death_policy on_parent_death = parent_death_policy::keep_running);

/// Waits for a process to end and returns its exit status (128 + signal if a signal ended it), or -1 if it is
/// still running after the timeout; with 0 seconds it does not wait.
int wait_for_exit(pid_t process, double timeout_seconds);

/// Terminates a process: SIGTERM, then SIGKILL after the timeout. Returns its exit status.
int stop_process(pid_t process, double timeout_seconds);

} // namespace baobabswitch
