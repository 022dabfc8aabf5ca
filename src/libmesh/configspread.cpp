#include "configspread.h"

#include "jsontext.h"

#include <algorithm>

namespace baobabswitch {

namespace {

using nlohmann::json;

/// Mean number of nodes of a failure domain that watch the configuration without delay. With three, and at
/// least three domains, a version that reaches none of them without delay is seen in less than one of 10,000
/// changes.
constexpr double fresh_watchers_per_domain = 3;
/// Largest configuration that is pushed; a larger one would keep the sender's link busy, so the receivers
/// read it from the store.
constexpr std::size_t max_pushed_bytes = std::size_t{64} * 1024;
constexpr milliseconds exchange_timeout{700};

std::string encode_config(const mesh_state& state, bool with_document) {
    json it{{"version", config_version(state)}};
    if (with_document && state.config) {
        it["document"] = state.config->document;
    }
    return print_json(it);
}

struct peer_config {
    std::uint64_t version = 0;
    std::string document; ///< empty if only the version was announced
};

result<peer_config> decode_config(std::string_view text) {
    BOOST_OUTCOME_TRY(body, parse_json(text));
    peer_config it;
    BOOST_OUTCOME_TRYV(read_field(body, "version", it.version));
    if (find_field(body, "document") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(body, "document", it.document));
    }
    return it;
}

/// Applies a peer's configuration. Returns whether it is in force now.
bool apply_peer_config(mesh_state& state, std::string_view text) {
    const auto it = decode_config(text);
    if (!it) {
        state.metrics.count_event("malformed_peer_config");
        state.log.write("peer-config-rejected", {{"error", describe(it.error())}});
        return false;
    }
    if (it.value().document.empty()) {
        return it.value().version <= config_version(state);
    }
    // adopt_config() logs a rejected document and keeps the current one.
    const auto adopted = adopt_config(state, it.value().document, "peer");
    return adopted && it.value().version <= config_version(state);
}

} // namespace

freshness choose_config_freshness(std::size_t domain_nodes, double random) {
    return random * static_cast<double>(domain_nodes) < fresh_watchers_per_domain ? freshness::current
                                                                                  : freshness::stale;
}

void push_config_to_domain(mesh_state& state) {
    const auto body = encode_config(state, state.config && state.config->document.size() <= max_pushed_bytes);
    for (const auto& [node, view] : state.targets.by_node) {
        if (view.entry.domain != state.settings.domain || node == state.settings.node) {
            continue;
        }
        http_request request;
        request.method = "POST";
        request.target = peer_config_path;
        request.body = body;
        state.peer_client->send(view.entry.peer, std::move(request), exchange_timeout,
                                [&state, node = node](const http_result& answer) {
                                    if (std::holds_alternative<http_failure>(answer)) {
                                        state.metrics.count_event("config_push_failed");
                                        state.log.write("config-push-failed", {{"target_node", node}});
                                    }
                                });
    }
}

void pull_peer_config(mesh_state& state, const endpoint& peer, std::function<void(bool newer)> done) {
    http_request request;
    request.target = peer_config_path;
    const auto known = config_version(state);
    state.peer_client->send(peer, std::move(request), exchange_timeout,
                            [&state, known, done = std::move(done)](const http_result& answer) {
                                const auto* response = std::get_if<http_response>(&answer);
                                if (response != nullptr && response->status == 200) {
                                    apply_peer_config(state, response->body);
                                }
                                done(config_version(state) > known);
                            });
}

void handle_peer_config(mesh_state& state, const http_request& request, http_exchange& exchange) {
    if (request.method == "GET") {
        exchange.respond(json_response(200, encode_config(state, true)));
        return;
    }
    const auto peer = find_peer(state, exchange.remote_host());
    if (!apply_peer_config(state, request.body) && peer && state.on_newer_config) {
        state.on_newer_config(*peer);
    }
    exchange.respond(json_response(200, "{}"));
}

std::optional<endpoint> find_peer(const mesh_state& state, std::string_view host) {
    const auto found = std::find_if(state.targets.by_node.begin(), state.targets.by_node.end(),
                                    [&](const auto& it) { return it.second.entry.peer.host == host; });
    return found == state.targets.by_node.end() ? std::nullopt : std::optional{found->second.entry.peer};
}

} // namespace baobabswitch
