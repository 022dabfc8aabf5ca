#pragma once

#include "calltypes.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

/// One decision on a request at this node.
struct trace_event {
    time_point at;
    std::string call;   ///< call id, empty at the entry
    std::string event;  ///< for example "arrived", "target-chosen", "retry", "evicted", "outcome"
    std::string detail; ///< why
};

/// Recent decisions by request. Bounded in requests and in events per request; the oldest request goes first.
struct call_trace {
    std::unordered_map<std::string, std::vector<trace_event>> requests;
    std::deque<std::string> order; ///< oldest first
    std::size_t max_requests = 2000;
    std::size_t max_events = 32; ///< per request; later events are counted in `dropped` only
    std::unordered_map<std::string, std::size_t> dropped;
};

/// Records a decision on a request.
void record_trace_event(call_trace& trace, std::string_view request, std::string_view call,
                        std::string_view event, std::string detail, time_point now);

/// Renders what is known about a request as JSON {"request", "events": [{"age_ms", "call", "event",
/// "detail"}], "dropped"}; `now` is the reference of the ages.
std::string explain_json(const call_trace& trace, std::string_view request, time_point now);

} // namespace baobabswitch
