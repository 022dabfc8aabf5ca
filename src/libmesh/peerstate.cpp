#include "peerstate.h"

#include "storesync.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

namespace {

using nlohmann::json;

constexpr milliseconds exchange_timeout{700};
constexpr std::chrono::seconds push_interval{1};

} // namespace

std::string encode_peer_state(const mesh_state& state) {
    json targets = json::object();
    for (const auto& [node, view] : state.targets.by_node) {
        targets[node] = {{"revision", view.entry.revision}, {"content", encode_entry(view.entry)}};
    }
    return json{{"version", config_version(state)},
                {"document", state.config ? state.config->document : std::string{}},
                {"targets", std::move(targets)}}
        .dump();
}

result<void> apply_peer_state(mesh_state& state, std::string_view text) {
    const auto it = json::parse(text, nullptr, false);
    if (!it.is_object() || !it.contains("document") || !it["document"].is_string() ||
        !it.contains("targets") || !it["targets"].is_object()) {
        return error{error_kind::malformed, "a peer's state is malformed",
                     "run the same version on all nodes"};
    }
    for (const auto& [node, stored] : it["targets"].items()) {
        if (node == state.settings.node || !stored.is_object() || !stored.contains("content") ||
            !stored["content"].is_string()) {
            continue;
        }
        stored_object object{node, stored.value("revision", std::uint64_t{0}), stored["content"], false};
        auto entry = decode_entry(object);
        if (!entry) {
            return entry.error();
        }
        update_target(state.targets, entry.value());
        state.targets_known = true;
    }
    if (const auto document = it["document"].get<std::string>(); !document.empty()) {
        auto adopted = adopt_config(state, document, "peer");
        if (!adopted) {
            return adopted.error();
        }
    }
    return success();
}

void handle_peer_state(mesh_state& state, const http_request& request, http_exchange& exchange) {
    if (request.method == "GET") {
        exchange.respond(json_response(200, encode_peer_state(state)));
        return;
    }
    const auto applied = apply_peer_state(state, request.body);
    if (!applied) {
        state.metrics.count_event("malformed_peer_state");
        state.log.write("peer-state-rejected", {{"error", describe(applied.error())}});
    }
    exchange.respond(json_response(applied ? 200 : 400, "{}"));
}

void pull_peer_state(mesh_state& state, const endpoint& peer) {
    http_request request;
    request.target = peer_state_path;
    state.peer_client->send(
        peer, std::move(request), exchange_timeout, [&state, peer](const http_result& answer) {
            const auto* response = std::get_if<http_response>(&answer);
            if (response == nullptr || response->status != 200) {
                state.log.write("peer-state-unavailable", {{"peer", to_string(peer)}});
                return;
            }
            const auto applied = apply_peer_state(state, response->body);
            if (!applied) {
                state.metrics.count_event("malformed_peer_state");
                state.log.write("peer-state-rejected",
                                {{"peer", to_string(peer)}, {"error", describe(applied.error())}});
            }
        });
}

void push_peer_state(mesh_state& state, const endpoint& peer) {
    const auto now = boot_clock::now();
    auto& last = state.last_state_push[peer];
    if (!state.config || (last != boot_time_point{} && now - last < push_interval)) {
        return;
    }
    last = now;
    http_request request;
    request.method = "POST";
    request.target = peer_state_path;
    request.body = encode_peer_state(state);
    state.peer_client->send(
        peer, std::move(request), exchange_timeout, [&state, peer](const http_result& answer) {
            const bool taken = std::holds_alternative<http_response>(answer);
            state.log.write("peer-informed", {{"peer", to_string(peer)}, {"taken", taken}});
        });
}

} // namespace baobabswitch
