#include "configspread.h"

#include "jsontext.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace baobabswitch {

namespace {

using nlohmann::json;

/// Number of nodes of a failure domain that watch the configuration without delay. Two may be lost, or be
/// refused by the store, before the others notice.
constexpr unsigned watchers_per_domain = 3;
/// Largest configuration that is pushed; a larger one would keep the sender's link busy, so the receivers
/// read it from the store.
constexpr std::size_t max_pushed_bytes = std::size_t{64} * 1024;
constexpr milliseconds exchange_timeout{700};
/// Lost nodes that are checked in one tick at most, so that many of them cost little.
constexpr std::size_t max_checks_per_tick = 2;

std::string encode_config(const mesh_state& state, bool with_document) {
    json it{{"version", config_version(state)},
            {"node", state.settings.node},
            {"watching", claims_config_watch(state)}};
    if (with_document && state.config) {
        it["document"] = state.config->document;
    }
    return print_json(it);
}

struct peer_config {
    std::uint64_t version = 0;
    std::string document; ///< empty if only the version was announced
    std::string node;     ///< the sender; empty if it runs an earlier version
    bool watches_config = false;
};

result<peer_config> decode_config(std::string_view text) {
    BOOST_OUTCOME_TRY(body, parse_json(text));
    peer_config it;
    BOOST_OUTCOME_TRYV(read_field(body, "version", it.version));
    if (find_field(body, "document") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(body, "document", it.document));
    }
    if (find_field(body, "node") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(body, "node", it.node));
    }
    if (find_field(body, "watching") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(body, "watching", it.watches_config));
    }
    return it;
}

void record_message(mesh_state& state, std::string_view node, bool watches_config) {
    const auto found = state.targets.by_node.find(node);
    if (found != state.targets.by_node.end()) {
        note_heard(state, found->second, watches_config);
    }
}

/// Applies a peer's configuration. Returns whether it is in force now.
bool apply_peer_config(mesh_state& state, std::string_view text) {
    const auto it = decode_config(text);
    if (!it) {
        state.metrics.count_event("malformed_peer_config");
        state.log.write("peer-config-rejected", {{"error", describe(it.error())}});
        return false;
    }
    record_message(state, it.value().node, it.value().watches_config);
    if (it.value().document.empty()) {
        return it.value().version <= config_version(state);
    }
    // adopt_config() logs a rejected document and keeps the current one.
    const auto adopted = adopt_config(state, it.value().document, "peer");
    return adopted && it.value().version <= config_version(state);
}

/// Records the answer to a message, or that the node could not be reached. Returns whether it answered.
bool record_answer(mesh_state& state, const std::string& node, const http_result& answer) {
    if (const auto* response = std::get_if<http_response>(&answer)) {
        const auto body = decode_config(response->body);
        record_message(state, node, body && body.value().watches_config);
        return true;
    }
    const auto found = state.targets.by_node.find(node);
    const bool unreachable = std::get<http_failure>(answer).kind == http_failure_kind::connect_failed;
    if (unreachable && found != state.targets.by_node.end()) {
        note_unreachable(state, found->second);
    }
    return false;
}

void send_config(mesh_state& state, const target_entry& to, std::string body,
                 std::function<void(bool answered)> done) {
    http_request request;
    request.method = "POST";
    request.target = peer_config_path;
    request.body = std::move(body);
    state.peer_client->send(to.peer, std::move(request), exchange_timeout,
                            [&state, node = to.node, done = std::move(done)](const http_result& answer) {
                                done(record_answer(state, node, answer));
                            });
}

/// Returns the first nodes of the own failure domain, by name, that are not lost.
std::vector<std::string_view> first_domain_nodes(const mesh_state& state) {
    std::vector<std::string_view> nodes;
    for (const auto& [node, view] : state.targets.by_node) {
        const bool own = node == state.settings.node;
        if (view.entry.domain == state.settings.domain && (own || !is_lost(view.presence)) &&
            nodes.size() < watchers_per_domain) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

} // namespace

bool is_config_watcher(const target_table& targets, const mesh_settings& node, boot_time_point now) {
    const auto lifetime = claim_lifetime(node.config_apply_time);
    unsigned watchers = 0;
    for (const auto& [name, view] : targets.by_node) {
        if (name >= node.node || watchers == watchers_per_domain) {
            break;
        }
        const bool in_domain = view.entry.domain == node.domain;
        watchers += in_domain && claims_config_watch(view.presence, now, lifetime) ? 1 : 0;
    }
    return watchers < watchers_per_domain;
}

void push_config_to_domain(mesh_state& state) {
    const auto now = boot_clock::now();
    const auto body = encode_config(state, state.config && state.config->document.size() <= max_pushed_bytes);
    // Nodes that have not heard from each other watch the configuration themselves, so a few senders suffice.
    const auto first = first_domain_nodes(state);
    const bool sends_to_all = std::find(first.begin(), first.end(), state.settings.node) != first.end();
    for (const auto& [node, view] : state.targets.by_node) {
        const bool other = view.entry.domain == state.settings.domain && node != state.settings.node;
        // A node may rely on this one as soon as it receives a call from it.
        const bool in_contact = view.in_flight > 0 || was_heard_recently(view.presence, now);
        if (other && !is_lost(view.presence) && (sends_to_all || in_contact)) {
            send_config(state, view.entry, body, [&state, node = node](bool answered) {
                if (!answered) {
                    state.metrics.count_event("config_push_failed");
                    state.log.write("config-push-failed", {{"target_node", node}});
                }
            });
        }
    }
}

void check_lost_nodes(mesh_state& state) {
    const auto now = boot_clock::now();
    std::vector<std::pair<boot_time_point, std::string>> due;
    for (const auto& [node, view] : state.targets.by_node) {
        if (is_check_due(view.presence, now) && node != state.settings.node) {
            due.emplace_back(view.presence.next_check, node);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), max_checks_per_tick));
    for (const auto& [at, node] : due) {
        auto& view = state.targets.by_node.at(node);
        view.presence.next_check = now + exchange_timeout;
        send_config(state, view.entry, encode_config(state, false), [](bool) {});
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
    exchange.respond(json_response(200, encode_config(state, false)));
}

std::optional<endpoint> find_peer(const mesh_state& state, std::string_view host) {
    const auto found = std::find_if(state.targets.by_node.begin(), state.targets.by_node.end(),
                                    [&](const auto& it) { return it.second.entry.peer.host == host; });
    return found == state.targets.by_node.end() ? std::nullopt : std::optional{found->second.entry.peer};
}

} // namespace baobabswitch
