#include "peerstate.h"

#include "jsontext.h"
#include "storesync.h"

namespace baobabswitch {

namespace {

using nlohmann::json;

constexpr milliseconds exchange_timeout{700};
constexpr std::chrono::seconds push_interval{1};

result<target_entry> unreadable_entry(std::string_view node) {
    return error{error_kind::malformed, "the entry of target node " + std::string{node} + " is malformed",
                 "run the same version on all nodes"};
}

} // namespace

std::string encode_peer_state(const mesh_state& state) {
    json targets = json::object();
    for (const auto& [node, view] : state.targets.by_node) {
        targets[node] = {{"era", view.entry.revision.era},
                         {"revision", view.entry.revision.number},
                         {"content", encode_entry(view.entry)}};
    }
    return print_json(json{{"version", config_version(state)},
                           {"document", state.config ? state.config->document : std::string{}},
                           {"targets", std::move(targets)}});
}

result<void> apply_peer_state(mesh_state& state, std::string_view text) {
    BOOST_OUTCOME_TRY(it, parse_json(text));
    std::string document;
    BOOST_OUTCOME_TRYV(read_field(it, "document", document));
    BOOST_OUTCOME_TRY(targets, read_object(it, "targets"));
    for (const auto& [node, stored] : targets->items()) {
        stored_object object;
        object.name = node;
        // Nodes of earlier builds send no era.
        const bool readable =
            read_field(stored, "revision", object.revision.number) &&
            (find_field(stored, "era") == nullptr || read_field(stored, "era", object.revision.era)) &&
            read_field(stored, "content", object.content);
        const auto entry = readable ? decode_entry(object) : unreadable_entry(node);
        if (!entry) {
            state.metrics.count_event("malformed_entry");
            state.log.write("entry-rejected",
                            {{"name", node}, {"source", "peer"}, {"error", describe(entry.error())}});
        } else if (node != state.settings.node) {
            update_target(state.targets, entry.value());
            state.targets_known = true;
        }
    }
    if (!document.empty()) {
        BOOST_OUTCOME_TRYV(adopt_config(state, document, "peer"));
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

void pull_peer_state(mesh_state& state, const endpoint& peer, std::function<void()> done) {
    http_request request;
    request.target = peer_state_path;
    state.peer_client->send(
        peer, std::move(request), exchange_timeout,
        [&state, peer, done = std::move(done)](const http_result& answer) {
            const auto* response = std::get_if<http_response>(&answer);
            if (response == nullptr || response->status != 200) {
                state.log.write("peer-state-unavailable", {{"peer", to_string(peer)}});
            } else if (const auto applied = apply_peer_state(state, response->body); !applied) {
                state.metrics.count_event("malformed_peer_state");
                state.log.write("peer-state-rejected",
                                {{"peer", to_string(peer)}, {"error", describe(applied.error())}});
            }
            done();
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
