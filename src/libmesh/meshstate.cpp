#include "meshstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabswitch {

namespace {

constexpr std::size_t max_response_bytes = std::size_t{64} * 1024 * 1024;
/// Responses that are being read may use 1 / response_memory_divisor of the VM's memory. A growing buffer
/// takes up to three times its content for a moment, and requests and responses to callers have limits of
/// their own.
constexpr std::size_t response_memory_divisor = 8;

std::shared_ptr<body_memory> make_response_memory(const mesh_settings& settings) {
    const auto limit = settings.memory_bytes / response_memory_divisor;
    return std::make_shared<body_memory>(limit == 0 ? max_response_bytes : limit);
}

http_client_options peer_options(const mesh_settings& settings, const platform_port& port,
                                 const std::shared_ptr<body_memory>& memory) {
    http_client_options it;
    it.limits.header_bytes = 64 * 1024;
    it.limits.body_bytes = max_response_bytes;
    it.memory = memory;
    it.max_connections_per_endpoint = 256;
    it.max_connecting_per_endpoint = 8;
    it.connect_timeout = milliseconds{400};
    it.idle_timeout = std::chrono::seconds{20};
    it.source_host = settings.listen.inbound.host;
    // Round trips between failure domains take about 2 ms; 800 ms covers two consecutive lost packets.
    it.user_timeout = milliseconds{800};
    it.keepalive_interval = std::chrono::seconds{1};
    it.correlation_header = port.headers.request_id;
    return it;
}

http_client_options target_options(const mesh_settings& settings, const platform_port& port,
                                   const std::shared_ptr<body_memory>& memory) {
    auto it = peer_options(settings, port, memory);
    it.require_correlation = true;
    it.connect_timeout = milliseconds{300};
    // Below the idle timeout of targets, which is 10 s unless they announce another one.
    it.idle_timeout = std::chrono::seconds{7};
    return it;
}

} // namespace

mesh_state::mesh_state(event_loop& l, mesh_settings s, platform_port p)
    : loop(l),
      settings(std::move(s)),
      port(std::move(p)),
      log(settings.node),
      random(std::random_device{}()),
      response_memory(make_response_memory(settings)),
      peer_client(std::make_unique<http_client>(l, peer_options(settings, port, response_memory))),
      target_client(std::make_unique<http_client>(l, target_options(settings, port, response_memory))) {
    budget.bounds = settings.retries;
    invariants.on_violation = [this](invariant which, std::string_view detail) {
        log.write_always("invariant-violated", {{"invariant", invariant_name(which)}, {"detail", detail}});
    };
}

double uniform(mesh_state& state) {
    return std::uniform_real_distribution<double>{0, 1}(state.random);
}

double advertised_level(const mesh_state& state) {
    return std::min(state.level.level, state.processor_level.level);
}

bool claims_config_watch(const mesh_state& state) {
    return state.watches_config && !state.stopping;
}

void note_heard(mesh_state& state, target_view& view, bool watches_config) {
    const auto now = boot_clock::now();
    if (is_lost(view.presence)) {
        state.log.write("node-regained", {{"target_node", view.entry.node},
                                          {"lost_ms", to_ms(now - view.presence.lost_since)}});
    }
    record_heard(view.presence, watches_config, now);
}

void note_unreachable(mesh_state& state, target_view& view) {
    const auto now = boot_clock::now();
    if (!is_lost(view.presence)) {
        state.log.write("node-lost",
                        {{"target_node", view.entry.node}, {"peer", to_string(view.entry.peer)}});
    }
    record_unreachable(view.presence, now);
}

std::uint64_t config_version(const mesh_state& state) {
    return state.config ? state.config->config.version : 0;
}

result<bool> adopt_config(mesh_state& state, std::string document, std::string_view source) {
    auto decoded = state.port.decode_config(document);
    if (!decoded) {
        state.metrics.count_event("malformed_config");
        state.log.write("config-rejected", {{"source", source}, {"error", describe(decoded.error())}});
        return decoded.error();
    }
    const auto previous = config_version(state);
    if (decoded.value().version <= previous) {
        return false;
    }
    auto it = std::make_shared<active_config>();
    it->config = std::move(decoded.value());
    it->table = route_table{it->config};
    it->document = std::move(document);
    check(state.invariants, invariant::config_monotonic, it->config.version > previous, source);
    state.config = it;
    const double max_level = max_admission_level(it->config);
    for (auto* it : {&state.level, &state.processor_level}) {
        if (it->integral >= it->max_level) {
            it->integral = max_level;
            it->level = max_level;
        }
        it->max_level = max_level;
    }
    state.estimates.max_level = max_level;
    state.log.write("config-adopted", {{"version", it->config.version},
                                       {"previous", previous},
                                       {"source", source},
                                       {"routes", it->config.routes.size()}});
    return true;
}

bool accepts_calls(const mesh_state& state) {
    const auto& it = state.target;
    return it.current && it.verified && it.reachable && !it.leaving && !state.refusing_runs;
}

std::string incarnation_name(const target_announcement& it) {
    return it.instance + '/' + std::to_string(it.started_ms);
}

} // namespace baobabswitch
