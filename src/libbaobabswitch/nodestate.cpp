#include "nodestate.h"

#include <chrono>

namespace baobabswitch {

namespace {

constexpr std::size_t hop_header_bytes = 4096;

http_client_options peer_options(const node_settings& settings) {
    http_client_options options;
    options.limits = settings.limits;
    // The response of a hop has the target's headers plus the internal ones.
    options.limits.header_bytes += hop_header_bytes;
    options.max_connections_per_endpoint = settings.peer_connections;
    options.source_host = settings.source_host;
    return options;
}

http_client_options target_options(const node_settings& settings) {
    http_client_options options;
    options.limits = settings.limits;
    return options;
}

std::uint64_t start_time_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

} // namespace

node_state::node_state(event_loop& events, node_settings config, invariant_table& invariant_counts,
                       node_metrics& counters)
    : loop(events),
      settings(std::move(config)),
      invariants(invariant_counts),
      metrics(counters),
      peer_client(events, peer_options(settings)),
      target_client(events, target_options(settings)),
      rng(std::random_device{}()),
      incarnation(start_time_ms()) {
    target_choice.node = settings.node_id;
    target_choice.domain = settings.domain;
}

void trace_call(node_state& node, std::string_view request, std::string_view call, std::string_view event,
                std::string detail) {
    record_trace_event(node.trace, request, call, event, std::move(detail), clock::now());
}

std::string next_call_id(node_state& node) {
    return node.settings.node_id + "." + std::to_string(node.incarnation) + "." +
           std::to_string(++node.last_call_number);
}

} // namespace baobabswitch
