#pragma once

#include "errors.h"

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace baobabswitch {

/// Starts a program with its standard output and error appended to a file. The system kills it when this
/// process ends, however that happens. Call from the main thread only. Fails with internal.
result<pid_t> start_child(const std::vector<std::string>& arguments, const std::string& log_file);

/// Returns the wait status of a child that has ended, or nothing while it runs.
std::optional<int> collect_child(pid_t child);

} // namespace baobabswitch
