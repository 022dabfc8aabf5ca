#pragma once

#include "calltypes.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

/// A decision made by this node about a request.
struct trace_event {
    time_point at;
    std::string call;   ///< call id; empty for events at the entry node
    std::string event;  ///< for example "arrived", "target-chosen", "retry", "evicted", "outcome"
    std::string detail; ///< reason or context
};

/// Recent decisions, grouped by request. The number of requests and of events per request is bounded; the
/// oldest request is discarded first.
struct call_trace {
    std::unordered_map<std::string, std::vector<trace_event>> requests;
    std::deque<std::string> order; ///< oldest first
    std::size_t max_requests = 2000;
    std::size_t max_events = 32; ///< per request; further events are only counted in `dropped`
    std::unordered_map<std::string, std::size_t> dropped;
};

/// Appends an event to the trace of a request.
void record_trace_event(call_trace& trace, std::string_view request, std::string_view call,
                        std::string_view event, std::string detail, time_point now);

/// Formats the trace of a request as JSON {"request", "events": [{"age_ms", "call", "event",
/// "detail"}], "dropped"}; ages are relative to `now`.
std::string explain_json(const call_trace& trace, std::string_view request, time_point now);

} // namespace baobabswitch
