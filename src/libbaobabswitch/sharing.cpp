#include "sharing.h"

#include "jsontext.h"
#include "log.h"

#include <algorithm>

namespace baobabswitch {

namespace {

using json = nlohmann::json;
using std::chrono::seconds;

/// Duration of a long poll. A stopping node waits for it to end, so it is well below the time allowed for a
/// stop.
constexpr milliseconds poll_wait{2000};
constexpr duration status_period = seconds{2};
constexpr duration status_refresh_period = seconds{10};
/// Time for peers to answer before a node without live peers reads member addresses from the platform, and
/// the pause between polls of a node without a configuration. Random delays up to this value spread the first
/// polls and reads when all nodes of a domain start at once.
constexpr milliseconds platform_read_delay{1000};

void add_config_fetch(sharing_state& state, sharing_effects& effects, time_point now) {
    if (state.gossip.newest_advert) {
        note_config_announcement(state.config, *state.gossip.newest_advert);
        state.gossip.newest_advert.reset();
    }
    if (available_bytes(state.gossip.budget, now) < request_overhead_bytes) {
        return;
    }
    if (const auto fetch = next_config_fetch(state.config, now)) {
        spend_bytes(state.gossip.budget, request_overhead_bytes, now);
        state.gossip.bytes_sent += request_overhead_bytes;
        effects.fetches.push_back(*fetch);
    }
}

void on_config_adopted(sharing_state& state, sharing_effects& effects, time_point now) {
    effects.new_config = true;
    auto pushed = set_own_config(state.gossip, current_config_id(state.config), true, now);
    std::move(pushed.begin(), pushed.end(), std::back_inserter(effects.gossip));
}

bool has_live_peer(const sharing_state& state) {
    return std::any_of(state.gossip.members.begin(), state.gossip.members.end(), [&](const auto& it) {
        return it.first != state.gossip.self && it.second.state != target_state::down;
    });
}

json domain_status(const sharing_state& state) {
    auto members = json::array();
    std::optional<std::uint64_t> min_version;
    std::uint64_t max_version = 0;
    for (const auto& [node, it] : state.gossip.members) {
        if (it.domain != state.gossip.domain) {
            continue;
        }
        members.push_back({{"node", node},
                           {"service", it.service},
                           {"state", target_state_name(it.state)},
                           {"address", to_string(it.address)}});
        if (it.state != target_state::down) {
            min_version = std::min(min_version.value_or(it.config_version), it.config_version);
            max_version = std::max(max_version, it.config_version);
        }
    }
    return {{"domain", state.gossip.domain},
            {"writer", state.gossip.self},
            {"members", std::move(members)},
            {"least_version", min_version.value_or(0)},
            {"greatest_version", max_version}};
}

void schedule_platform_calls(sharing_state& state, sharing_effects& effects, std::uint64_t wall_ms,
                             time_point now) {
    if (!state.has_platform || state.stopping) {
        return;
    }
    const auto watchers = domain_watchers(state.gossip.members, state.gossip.domain);
    const bool watcher = std::find(watchers.begin(), watchers.end(), state.gossip.self) != watchers.end();
    const bool needs_config = !state.config.current;
    if (!state.polling && now >= state.next_poll_at && (watcher || needs_config)) {
        state.polling = true;
        effects.poll = config_poll_call{watcher ? state.poll_revision : 0, poll_wait};
    }
    if (!state.reading_bootstrap_peers && now >= state.next_bootstrap_peers_read_at &&
        !has_live_peer(state)) {
        state.reading_bootstrap_peers = true;
        effects.read_bootstrap_peers = true;
    }
    if (watchers.empty() || watchers.front() != state.gossip.self || state.writing_status ||
        now < state.next_status_at) {
        return;
    }
    auto status = domain_status(state);
    auto text = status.dump();
    const bool due = now - state.last_status_at >= status_refresh_period ||
                     (text != state.last_status_text && now - state.last_status_at >= status_period);
    if (state.last_status_at != time_point{} && !due) {
        return;
    }
    state.writing_status = true;
    state.last_status_text = std::move(text);
    state.last_status_at = now;
    status["time"] = wall_ms;
    effects.status = status_write_call{std::string{status_prefix} + state.gossip.domain, status.dump(),
                                       state.status_version};
}

} // namespace

sharing_state make_sharing_state(const member& own, std::vector<endpoint> seeds, bool has_platform,
                                 std::uint64_t seed, invariant_table& invariants, time_point now) {
    sharing_state state;
    state.gossip = make_gossip_state(own, std::move(seeds), seed, invariants);
    state.gossip.budget.updated = now;
    state.config.invariants = &invariants;
    state.has_platform = has_platform;
    const auto delay = [&] {
        return milliseconds{
            std::uniform_int_distribution<std::int64_t>{0, platform_read_delay.count()}(state.gossip.rng)};
    };
    state.next_poll_at = now + delay();
    state.next_bootstrap_peers_read_at = now + platform_read_delay + delay();
    return state;
}

sharing_effects apply_initial_document(sharing_state& state, json document, time_point now) {
    sharing_effects effects;
    auto digest = document_digest(document);
    if (accept_document(state.config, {0, std::move(digest), std::move(document)})) {
        on_config_adopted(state, effects, now);
    }
    return effects;
}

sharing_effects sharing_round(sharing_state& state, std::uint64_t wall_ms, time_point now) {
    sharing_effects effects;
    effects.gossip = gossip_round(state.gossip, now);
    schedule_platform_calls(state, effects, wall_ms, now);
    add_config_fetch(state, effects, now);
    return effects;
}

sharing_effects change_own_entry(sharing_state& state, const member& own, time_point now) {
    sharing_effects effects;
    effects.gossip = set_own_entry(state.gossip, own, now);
    return effects;
}

result<sharing_answer> on_gossip(sharing_state& state, std::string_view body, time_point now) {
    auto received = receive_gossip(state.gossip, body, now);
    if (!received) {
        return received.error();
    }
    sharing_answer answer;
    answer.body = std::move(received.value().body);
    answer.effects.gossip = std::move(received.value().messages);
    add_config_fetch(state, answer.effects, now);
    return answer;
}

sharing_effects on_gossip_answer(sharing_state& state, const peer_message& sent, std::string_view body,
                                 time_point now) {
    sharing_effects effects;
    effects.gossip = receive_gossip_answer(state.gossip, sent, body, now);
    add_config_fetch(state, effects, now);
    return effects;
}

sharing_effects on_gossip_failure(sharing_state& state, const peer_message& sent, time_point now) {
    exchange_failed(state.gossip, sent, now);
    return {};
}

result<std::string> on_config_request(sharing_state& state, std::optional<std::uint64_t> have,
                                      time_point now) {
    auto answer = serve_config_fetch(state.config, have);
    if (answer) {
        const auto bytes = answer.value().size() + answer_overhead_bytes;
        charge_response_bytes(state.gossip.budget, bytes, now);
        state.gossip.bytes_sent += bytes;
    }
    return answer;
}

sharing_effects on_config_fetched(sharing_state& state, const std::optional<std::string>& body,
                                  time_point now) {
    sharing_effects effects;
    if (!body) {
        config_fetch_failed(state.config, now);
    } else if (const auto taken = handle_config_response(state.config, *body, now); !taken) {
        log(log_level::warning, "configuration", taken.error().message);
    } else if (taken.value()) {
        on_config_adopted(state, effects, now);
    }
    add_config_fetch(state, effects, now);
    return effects;
}

sharing_effects on_config_polled(sharing_state& state, const result<config_poll>& poll, time_point now) {
    sharing_effects effects;
    state.polling = false;
    if (!poll) {
        state.next_poll_at = now + next_delay(state.poll_backoff, state.gossip.rng);
        return effects;
    }
    reset(state.poll_backoff);
    // Revisions restart at a lower number when the store has lost its history.
    state.poll_revision = poll.value().revision < state.poll_revision ? 0 : poll.value().revision;
    state.next_poll_at = now;
    if (poll.value().value) {
        auto stored = parse_stored_config(*poll.value().value);
        auto taken =
            stored ? accept_document(state.config, std::move(stored.value())) : result<bool>{stored.error()};
        if (!taken) {
            log(log_level::error, "configuration", taken.error().message);
        } else if (taken.value()) {
            on_config_adopted(state, effects, now);
        }
    }
    if (!state.config.current) {
        // A node without a configuration polls again even if it is not a watcher.
        state.next_poll_at = now + platform_read_delay;
    } else if (is_watcher(state) && !state.stopping) {
        state.polling = true;
        effects.poll = config_poll_call{state.poll_revision, poll_wait};
    }
    add_config_fetch(state, effects, now);
    return effects;
}

sharing_effects on_status_written(sharing_state& state, const status_write_result& written, time_point now) {
    state.writing_status = false;
    state.status_version = written.version;
    if (written.written) {
        reset(state.status_backoff);
        return {};
    }
    state.last_status_text.clear();
    state.next_status_at = now + status_period + next_delay(state.status_backoff, state.gossip.rng);
    return {};
}

sharing_effects on_bootstrap_peers(sharing_state& state, const result<std::vector<endpoint>>& peers,
                                   time_point now) {
    state.reading_bootstrap_peers = false;
    if (!peers) {
        state.next_bootstrap_peers_read_at =
            now + platform_read_delay + next_delay(state.bootstrap_peers_backoff, state.gossip.rng);
        return {};
    }
    reset(state.bootstrap_peers_backoff);
    state.next_bootstrap_peers_read_at = now + status_refresh_period;
    constexpr std::size_t max_bootstrap_peers = 64;
    auto& known = state.gossip.bootstrap_peers;
    for (const auto& it : peers.value()) {
        const bool own = it == state.gossip.members.find(state.gossip.self)->second.address;
        if (!own && known.size() < max_bootstrap_peers &&
            std::find(known.begin(), known.end(), it) == known.end()) {
            known.push_back(it);
        }
    }
    return {};
}

bool is_watcher(const sharing_state& state) {
    const auto watchers = domain_watchers(state.gossip.members, state.gossip.domain);
    return std::find(watchers.begin(), watchers.end(), state.gossip.self) != watchers.end();
}

status_write_result write_status(object_store& store, const status_write_call& call) {
    if (const auto written = store.put(call.name, call.value, call.if_version)) {
        return {true, written.value()};
    }
    const auto found = store.get(call.name);
    if (found) {
        return {false, found.value().version};
    }
    return {false, found.error().kind == error_kind::not_found ? 0 : call.if_version};
}

result<std::vector<endpoint>> read_bootstrap_peers(object_store& store) {
    const auto names = store.list(status_prefix);
    if (!names) {
        return names.error();
    }
    std::vector<endpoint> peers;
    for (const auto& it : names.value().objects) {
        const auto object = store.get(it.name);
        if (!object) {
            continue;
        }
        const auto status = parse_json_or_discard(object.value().value);
        const auto members = status.is_object() ? status.find("members") : status.end();
        if (members == status.end()) {
            continue;
        }
        for (const auto& entry : *members) {
            std::string state;
            std::string text;
            if (!read_field(entry, "state", state) || state == "down" ||
                !read_field(entry, "address", text)) {
                continue;
            }
            const auto address = parse_endpoint(text);
            if (address && address.value().port != 0) {
                peers.push_back(address.value());
            }
        }
    }
    return peers;
}

} // namespace baobabswitch
