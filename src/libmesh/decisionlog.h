#pragma once

#include "bootclock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Writes JSON lines to standard output, one for each decision on a request and each change of the state that
/// decisions depend on. Rate-limited per event: lines over the limit are suppressed and counted. Never
/// blocks: a line that does not fit into the pipe is dropped and counted.
class decision_log {
public:
    explicit decision_log(std::string node);

    /// Returns whether a line of this event is within the rate limit, so that callers can skip building the
    /// fields of a suppressed line. Each call counts towards the limit.
    bool should_write(std::string_view event);
    /// Writes a line if the rate limit allows it. `fields` is a JSON object.
    void write(std::string_view event, const nlohmann::json& fields);
    /// Writes a line regardless of the rate limit, for starts, stops and lost or regained dependencies.
    void write_always(std::string_view event, const nlohmann::json& fields);
    /// Logs the numbers of suppressed and dropped lines and resets the rate limits. Must be called once a
    /// second, since the limits are per second.
    void report_suppressed();

private:
    struct event_count {
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };
    void emit(std::string_view event, const nlohmann::json& fields);

    std::string node_;
    std::map<std::string, event_count, std::less<>> counts_;
    std::uint64_t dropped_ = 0;
};

} // namespace baobabswitch
