#pragma once

#include "errors.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace baobabswitch {

/// What happens to a started process when the thread that started it ends, for whatever reason.
enum class parent_death_policy { keep_running, kill_child };

/// Starts a program with its standard output and error appended to a file, or shared with this process if the
/// file can't be opened. The child inherits standard input, but no other open file of this process. Fails
/// with internal if the program is not executable or the fork fails; if the child then can't execute it, the
/// child exits with status 127.
result<pid_t> start_process(const std::vector<std::string>& arguments, const std::string& log_file,
                            parent_death_policy on_parent_death = parent_death_policy::keep_running);

/// Waits for a process to end and returns its exit status (128 + signal if a signal ended it), or -1 if it is
/// still running after the timeout or is not a child of this process. A timeout of 0 returns at once.
int wait_for_exit(pid_t process, double timeout_seconds);

/// Terminates a process: SIGTERM, then SIGKILL after the timeout. Returns its exit status as wait_for_exit()
/// does.
int stop_process(pid_t process, double timeout_seconds);

} // namespace baobabswitch
