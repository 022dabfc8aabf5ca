#pragma once

#include "bootclock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// JSON lines on standard output, one for each decision on a request or change of belief. Bounded: past a
/// number of lines a second for an event, lines are counted and reported instead. Never blocks: a line that
/// the pipe has no room for is dropped and counted.
class decision_log {
public:
    explicit decision_log(std::string node);

    /// Reports whether a line of this event would be written now. Saves building the fields of one that
    /// would not be; each call counts towards the event's bound.
    bool should_write(std::string_view event);
    /// Writes a line. `fields` is a JSON object.
    void write(std::string_view event, const nlohmann::json& fields);
    /// Writes a line without the bound, for starts, stops and lost or regained dependencies.
    void write_always(std::string_view event, const nlohmann::json& fields);
    /// Reports suppressed and dropped lines. Call about once a second.
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
