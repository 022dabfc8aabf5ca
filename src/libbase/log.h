#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace baobabswitch {

enum class log_level { debug, info, warning, error };

using log_fields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Sends log entries of at least this level to standard error, as one JSON object per line.
void set_up_logging(log_level min_level);

/// Parses "debug", "info", "warning" or "error"; anything else gives info.
log_level parse_log_level(std::string_view name);

/// Writes a log entry if its level is enabled; the fields appear in the member "context_map" of its JSON
/// object.
void log(log_level level, std::string_view component, std::string_view message, log_fields fields = {});

} // namespace baobabswitch
