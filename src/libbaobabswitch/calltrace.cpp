#include "calltrace.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

void record_trace_event(call_trace& trace, std::string_view request, std::string_view call,
                        std::string_view event, std::string detail, time_point now) {
    const std::string key{request};
    const auto [it, inserted] = trace.requests.try_emplace(key);
    if (inserted) {
        trace.order.push_back(key);
        if (trace.order.size() > trace.max_requests) {
            trace.requests.erase(trace.order.front());
            trace.dropped.erase(trace.order.front());
            trace.order.pop_front();
        }
    }
    if (it->second.size() >= trace.max_events) {
        ++trace.dropped[key];
        return;
    }
    it->second.push_back({now, std::string{call}, std::string{event}, std::move(detail)});
}

std::string explain_json(const call_trace& trace, std::string_view request, time_point now) {
    const std::string key{request};
    auto events = nlohmann::json::array();
    if (const auto found = trace.requests.find(key); found != trace.requests.end()) {
        for (const auto& it : found->second) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - it.at);
            events.push_back(
                {{"age_ms", age.count()}, {"call", it.call}, {"event", it.event}, {"detail", it.detail}});
        }
    }
    const auto dropped = trace.dropped.find(key);
    return nlohmann::json{{"request", key},
                          {"events", std::move(events)},
                          {"dropped", dropped == trace.dropped.end() ? 0 : dropped->second}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace baobabswitch
