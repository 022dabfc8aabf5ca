#include "gossip.h"

#include "jsontext.h"
#include "log.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdio>

namespace baobabswitch {

namespace {

using json = nlohmann::json;
using std::chrono::seconds;

/// Limit for the total size of the member entries in one message (design §6).
constexpr std::size_t max_entry_bytes_per_message = 1024;
constexpr std::size_t min_entry_bytes_per_message = 256;
constexpr std::size_t max_config_bytes = 256; ///< limit for configuration versions in one message
/// Part of the byte budget reserved for answers: a peer that gets no answer suspects this node.
constexpr std::size_t answer_reserve_bytes = 1000;
constexpr std::size_t push_fanout = 4;
constexpr std::size_t bootstrap_fanout = 3; ///< peers that a new node contacts per round (design §7)
constexpr unsigned cross_domain_period = 5; ///< every fifth round exchanges with another failure domain
constexpr unsigned reconnect_period = 2;   ///< rounds between attempts to reach a domain without live members
constexpr unsigned down_retry_period = 10; ///< rounds between attempts to reach other members that are down
constexpr unsigned slice_period = 4;       ///< rounds between slice exchanges while changes are pending
constexpr unsigned max_slice_requests_per_round = 6;
constexpr std::size_t max_suspects_per_round = 2;
constexpr std::size_t max_members = 2048;
constexpr std::size_t slice_digits = 6; ///< hexadecimal digits of each slice digest in a message
/// More differing slices than this may not fit in one message.
constexpr std::size_t slices_in_one_message = 12;
constexpr duration down_after = seconds{5};
constexpr duration contact_freshness = seconds{3}; ///< a contact this recent confirms a member to other nodes
/// How long this node doesn't choose a member for exchanges after only another node could reach it. It bounds
/// how long this node misses the failure of that member.
constexpr duration avoid_duration = seconds{15};
constexpr duration pause_limit = seconds{3}; ///< a longer gap between rounds means a suspended process
/// Long enough that a domain partitioned for an hour is still known to the other side.
constexpr duration down_retention = std::chrono::hours{2};

std::uint64_t hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t entry_hash(const member& it) {
    return hash(it.node + "|" + std::to_string(it.incarnation) + "|" + std::to_string(it.version) + "|" +
                std::to_string(static_cast<int>(it.state)));
}

std::size_t slice_of(std::string_view node) {
    return hash(node) % gossip_slice_count;
}

std::string hex(std::uint64_t value, std::size_t digits) {
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return std::string{buf.data()}.substr(16 - digits);
}

std::string slice_digests(const gossip_state& state) {
    std::string text;
    for (const auto it : state.slices) {
        text += hex(it, slice_digits);
    }
    return text;
}

std::size_t live_count(const gossip_state& state) {
    return static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [](auto& it) {
        return it.second.state != target_state::down;
    }));
}

/// Returns how many messages carry a change. Nodes that miss all of them are found by comparing digests.
unsigned retransmit_limit(const gossip_state& state) {
    return 2 + static_cast<unsigned>(std::bit_width(state.members.size()));
}

bool has_pending_changes(const gossip_state& state) {
    const auto limit = retransmit_limit(state);
    return std::any_of(state.contacts.begin(), state.contacts.end(),
                       [&](const auto& it) { return it.second.entry_send_count < limit; });
}

/// Returns an upper bound of the size of a serialized entry: its strings, plus its numbers and punctuation.
std::size_t row_bytes(const member& entry) {
    constexpr std::size_t fixed_bytes = 60;
    return entry.node.size() + entry.domain.size() + entry.service.size() + entry.address.host.size() +
           fixed_bytes;
}

/// Adds changed entries up to max_bytes: the least often sent first, then the most recently changed.
void add_changes(gossip_state& state, json& message, std::size_t max_bytes) {
    const auto limit = retransmit_limit(state);
    std::vector<std::pair<member_contact*, const member*>> changes;
    for (auto& [node, it] : state.contacts) {
        if (it.entry_send_count < limit) {
            changes.emplace_back(&it, &state.members.find(node)->second);
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) {
        return std::tuple{a.first->entry_send_count, b.first->changed_at, a.second->node} <
               std::tuple{b.first->entry_send_count, a.first->changed_at, b.second->node};
    });
    auto rows = json::array();
    std::size_t bytes = 0;
    for (const auto& [contact, entry] : changes) {
        bytes += row_bytes(*entry);
        if (bytes > max_bytes) {
            break;
        }
        rows.push_back(to_json(*entry));
        ++contact->entry_send_count;
    }
    if (!rows.empty()) {
        message["m"] = std::move(rows);
    }
}

/// Adds the configuration versions in force at members of this domain. They stay within the domain, whose
/// first watcher reports them in the status.
void add_versions(gossip_state& state, json& message) {
    const auto limit = retransmit_limit(state);
    auto versions = json::object();
    std::size_t bytes = 0;
    for (auto& [node, it] : state.contacts) {
        if (it.config_send_count >= limit || bytes >= max_config_bytes) {
            continue;
        }
        const auto& entry = state.members.find(node)->second;
        if (entry.domain == state.domain) {
            versions[node] = entry.config_version;
            bytes += node.size() + 8;
            ++it.config_send_count;
        }
    }
    if (!versions.empty()) {
        message["e"] = std::move(versions);
    }
}

/// Builds a message that starts or answers an exchange. Keys of messages and answers: "f" sender, "d" table
/// digest, "n" number of live members, "c" configuration version and digest, "m" member entries, "e"
/// configuration versions by node, "u" asks to forward new entries, "q" members to probe indirectly, "k"
/// members reached for such a request, "h" slice digests, "z" slices that differ.
json make_message(gossip_state& state, std::string_view peer, std::size_t max_entry_bytes) {
    json message{{"f", state.self}, {"d", table_digest(state)}, {"n", live_count(state)}};
    if (!state.config.digest.empty()) {
        message["c"] = {state.config.version, state.config.digest};
    }
    add_changes(state, message, max_entry_bytes);
    const auto it = state.members.find(peer);
    if (it != state.members.end() && it->second.domain == state.domain) {
        add_versions(state, message);
    }
    return message;
}

/// Queues a message if the byte budget allows it.
bool queue_message(gossip_state& state, peer_messages& out, const endpoint& to, std::string node,
                   const json& message, time_point now) {
    auto body = message.dump();
    const auto bytes = body.size() + request_overhead_bytes;
    if (available_bytes(state.budget, now) < bytes + answer_reserve_bytes) {
        return false;
    }
    spend_bytes(state.budget, bytes, now);
    state.bytes_sent += bytes;
    out.push_back({to, std::move(node), std::move(body)});
    return true;
}

std::size_t affordable_entry_bytes(gossip_state& state, time_point now) {
    constexpr auto reserved = answer_reserve_bytes + 2 * request_overhead_bytes;
    const auto left = available_bytes(state.budget, now);
    // A node that has spent its budget must still be able to show that it is alive.
    return std::clamp(left - std::min(left, reserved), min_entry_bytes_per_message,
                      max_entry_bytes_per_message);
}

void start_exchange(gossip_state& state, peer_messages& out, const endpoint& to, const std::string& node,
                    time_point now) {
    if (available_bytes(state.budget, now) < 2 * request_overhead_bytes) {
        return;
    }
    queue_message(state, out, to, node, make_message(state, node, affordable_entry_bytes(state, now)), now);
}

/// Sends changes to random peers immediately. `u` asks the receivers to forward entries that are new to them.
void push_changes(gossip_state& state, peer_messages& out, const json& rows, time_point now) {
    json message{{"f", state.self}, {"u", 1}};
    if (!rows.empty()) {
        message["m"] = rows;
    }
    if (!state.config.digest.empty()) {
        message["c"] = {state.config.version, state.config.digest};
    }
    for (const auto* it : random_peers(state, push_fanout, now)) {
        queue_message(state, out, it->address, it->node, message, now);
    }
}

void mark_changed(gossip_state& state, const std::string& node, time_point now) {
    auto& contact = state.contacts[node];
    contact.changed_at = now;
    contact.entry_send_count = 0;
    contact.config_send_count = 0;
    const auto& entry = state.members.find(node)->second;
    const auto new_hash = entry.state == target_state::down ? 0 : entry_hash(entry);
    state.slices.at(slice_of(node)) ^= contact.hash ^ new_hash;
    contact.hash = new_hash;
    ++state.revision;
}

/// Handles an entry for this node that differs from its own: refutes it with a higher version if it is newer.
void refute(gossip_state& state, const member& report, json& rows_to_push, time_point now) {
    auto& own = state.members.find(state.self)->second;
    if (report.incarnation > own.incarnation) {
        if (!state.superseded) {
            log(log_level::error, "membership", "another process uses this node's id; give each its own",
                {{"node", state.self}});
        }
        state.superseded = true;
        return;
    }
    if (!is_newer(report, own)) {
        // The sender holds an outdated entry for this node, so the current entry is sent again.
        state.contacts[state.self].entry_send_count = 0;
        return;
    }
    own.version = report.version + 1;
    mark_changed(state, state.self, now);
    rows_to_push.push_back(to_json(own));
}

/// Merges a received entry. If it was newer, it is added to `accepted_rows` unless that is null; a refutation
/// is added to `rows_to_push`.
void merge_entry(gossip_state& state, const member& entry, json* accepted_rows, json& rows_to_push,
                 time_point now) {
    if (entry.node == state.self) {
        if (state.members.find(state.self)->second.incarnation != entry.incarnation ||
            state.members.find(state.self)->second.version != entry.version ||
            state.members.find(state.self)->second.state != entry.state) {
            refute(state, entry, rows_to_push, now);
        }
        return;
    }
    const auto known = state.members.find(entry.node);
    if (known == state.members.end() &&
        (entry.state == target_state::down || state.members.size() >= max_members)) {
        return;
    }
    const auto before = known == state.members.end() ? member{} : known->second;
    if (!merge(state.members, entry)) {
        if (state.members.find(entry.node)->second.config_version != before.config_version) {
            state.contacts[entry.node].config_send_count = 0;
        }
        return;
    }
    check(*state.invariants, invariant::member_monotonic, is_newer(entry, before),
          "member " + entry.node + " was replaced by an older entry");
    auto& contact = state.contacts[entry.node];
    contact.suspected.reset();
    if (entry.incarnation != before.incarnation) {
        contact.avoid_until = {};
    }
    mark_changed(state, entry.node, now);
    if (accepted_rows != nullptr) {
        accepted_rows->push_back(to_json(entry));
    }
}

/// Records a message from a member and acknowledges a pending indirect probe of it.
void record_contact(gossip_state& state, const std::string& node, peer_messages& out, time_point now) {
    state.last_contact = now;
    if (!state.members.contains(node) || node == state.self) {
        return;
    }
    auto& contact = state.contacts[node];
    contact.last_message_at = now;
    contact.suspected.reset();
    contact.avoid_until = {};
    const auto it = state.indirect_probes.find(node);
    if (it != state.indirect_probes.end()) {
        if (now <= it->second.until) {
            queue_message(state, out, it->second.requester, it->second.requester_node,
                          {{"f", state.self}, {"k", {node}}}, now);
        }
        state.indirect_probes.erase(it);
    }
}

bool recently_contacted(const member_contact& it, time_point now) {
    return it.last_message_at != time_point{} && now - it.last_message_at < contact_freshness;
}

/// Clears the suspicion of members that another node reaches. As this node can't reach them itself, it
/// doesn't choose them for exchanges for avoid_duration.
void accept_indirect_acks(gossip_state& state, const json& nodes, time_point now) {
    for (const auto& node : nodes) {
        const auto it = state.contacts.find(node.get_ref<const std::string&>());
        if (it != state.contacts.end() && it->second.suspected) {
            it->second.suspected.reset();
            it->second.avoid_until = now + avoid_duration;
        }
    }
}

/// Returns the members among `nodes` with recent contact, and starts probing the others for the sender.
json answer_indirect_probes(gossip_state& state, const json& nodes, const std::string& sender,
                            peer_messages& out, time_point now) {
    auto reached = json::array();
    const auto requester = state.members.find(sender);
    for (const auto& node : nodes) {
        const auto& name = node.get_ref<const std::string&>();
        const auto contact = state.contacts.find(name);
        if (contact == state.contacts.end() || name == state.self ||
            state.members.find(name)->second.state == target_state::down) {
            continue;
        }
        if (recently_contacted(contact->second, now)) {
            reached.push_back(name);
        } else if (requester != state.members.end()) {
            const bool in_progress = state.indirect_probes.contains(name);
            state.indirect_probes[name] = {requester->second.address, sender, now + contact_freshness};
            if (!in_progress) {
                start_exchange(state, out, state.members.find(name)->second.address, name, now);
            }
        }
    }
    return reached;
}

void record_config_advert(gossip_state& state, const json& message, const endpoint& from) {
    const auto it = message.find("c");
    if (it == message.end()) {
        return;
    }
    config_id id{it->at(0).get<std::uint64_t>(), it->at(1).get<std::string>()};
    const bool newer = state.config.digest.empty() || id.version > state.config.version;
    if (newer && (!state.newest_advert || id.version >= state.newest_advert->id.version)) {
        state.newest_advert = config_advert{from, std::move(id)};
    }
}

/// Applies the fields that messages and answers share. Throws json exceptions on malformed input.
void apply_message(gossip_state& state, const json& message, const std::optional<endpoint>& from,
                   peer_messages& out, time_point now) {
    const auto sender = message.at("f").get<std::string>();
    auto rows_to_push = json::array();
    auto* accepted_rows = message.contains("u") ? &rows_to_push : nullptr;
    if (const auto it = message.find("m"); it != message.end()) {
        for (const auto& row : *it) {
            const auto entry = member_from_json(row);
            if (!entry) {
                continue;
            }
            const auto revision = state.revision;
            merge_entry(state, entry.value(), accepted_rows, rows_to_push, now);
            if (message.contains("z") && state.revision != revision && entry.value().node != state.self) {
                // Most nodes already have the entries that arrive in a slice exchange, so this node doesn't
                // retransmit them; comparing digests finds the nodes that lack them.
                state.contacts[entry.value().node].entry_send_count = retransmit_limit(state);
            }
        }
    }
    if (const auto it = message.find("e"); it != message.end()) {
        for (const auto& [node, version] : it->items()) {
            const auto known = state.members.find(node);
            if (known != state.members.end() && node != state.self &&
                known->second.config_version < version.get<std::uint64_t>()) {
                known->second.config_version = version.get<std::uint64_t>();
                state.contacts[node].config_send_count = 0;
            }
        }
    }
    record_contact(state, sender, out, now);
    if (const auto it = message.find("k"); it != message.end()) {
        accept_indirect_acks(state, *it, now);
    }
    const auto known = state.members.find(sender);
    if (from) {
        record_config_advert(state, message, *from);
    } else if (known != state.members.end()) {
        record_config_advert(state, message, known->second.address);
    }
    if (!rows_to_push.empty()) {
        push_changes(state, out, rows_to_push, now);
    }
}

/// Adds the entries of the given slices that are not in `known`, up to max_bytes. It starts at a random
/// slice, so that repeated exchanges cover all slices when their entries don't fit in one message.
void add_slices(gossip_state& state, json& message, const std::vector<std::size_t>& slices,
                std::size_t max_bytes, const json& known) {
    auto rows = json::array();
    std::size_t bytes = 0;
    if (!slices.empty()) {
        const auto first = state.rng() % slices.size();
        for (std::size_t n = 0; n < slices.size(); ++n) {
            const auto slice = slices.at((first + n) % slices.size());
            for (const auto& [node, it] : state.members) {
                if (slice_of(node) != slice) {
                    continue;
                }
                auto row = to_json(it);
                const auto size = row_bytes(it);
                if (std::find(known.begin(), known.end(), row) == known.end() && bytes + size <= max_bytes) {
                    bytes += size;
                    rows.push_back(std::move(row));
                }
            }
        }
    }
    if (!rows.empty()) {
        message["m"] = std::move(rows);
    }
}

void request_slices(gossip_state& state, peer_messages& out, const peer_message& peer, time_point now) {
    constexpr std::size_t min_bytes = 2 * (max_entry_bytes_per_message + request_overhead_bytes);
    if (state.slice_requests_this_round >= max_slice_requests_per_round ||
        available_bytes(state.budget, now) < min_bytes) {
        return;
    }
    ++state.slice_requests_this_round;
    queue_message(state, out, peer.to, peer.node, {{"f", state.self}, {"h", slice_digests(state)}}, now);
}

void declare_down(gossip_state& state, time_point now) {
    // An isolated node can't tell which members are down.
    if (now - state.last_contact >= down_after) {
        return;
    }
    for (auto& [node, it] : state.members) {
        auto& contact = state.contacts[node];
        if (!contact.suspected || now - *contact.suspected < down_after || it.state == target_state::down) {
            continue;
        }
        it.state = target_state::down;
        ++it.version;
        contact.suspected.reset();
        mark_changed(state, node, now);
    }
}

void remove_expired_members(gossip_state& state, time_point now) {
    std::vector<std::pair<time_point, std::string>> down;
    for (const auto& [node, it] : state.members) {
        if (it.state == target_state::down) {
            down.emplace_back(state.contacts[node].changed_at, node);
        }
    }
    std::sort(down.begin(), down.end());
    for (const auto& [changed, node] : down) {
        if (now - changed < down_retention && state.members.size() < max_members) {
            break;
        }
        state.members.erase(node);
        state.contacts.erase(node);
        ++state.revision;
    }
}

bool may_exchange(const gossip_state& state, const member& it, time_point now) {
    if (it.node == state.self || it.state == target_state::down) {
        return false;
    }
    const auto contact = state.contacts.find(it.node);
    return contact == state.contacts.end() || contact->second.avoid_until <= now;
}

template <class Item>
const Item* pick_random(gossip_state& state, const std::vector<Item>& items) {
    if (items.empty()) {
        return nullptr;
    }
    return &items.at(std::uniform_int_distribution<std::size_t>{0, items.size() - 1}(state.rng));
}

const member* choose_peer(gossip_state& state, bool other_domain, time_point now) {
    std::vector<const member*> candidates;
    for (const auto& [node, it] : state.members) {
        if (may_exchange(state, it, now) && (it.domain != state.domain) == other_domain) {
            candidates.push_back(&it);
        }
    }
    const auto* chosen = pick_random(state, candidates);
    return chosen == nullptr ? nullptr : *chosen;
}

/// Contacts one random address, either of a member that is down or of a bootstrap peer where no live member
/// is known. This merges the sides of a partition after it heals. Members that are down are tried more often
/// if their domain has no live member.
void retry_unreachable(gossip_state& state, peer_messages& out, time_point now) {
    std::map<std::string, bool> domain_is_live;
    std::vector<endpoint> live;
    for (const auto& [node, it] : state.members) {
        const bool is_live = it.state != target_state::down;
        domain_is_live[it.domain] = domain_is_live[it.domain] || is_live;
        if (is_live) {
            live.push_back(it.address);
        }
    }
    std::vector<endpoint> addresses;
    for (const auto& [node, it] : state.members) {
        if (it.state == target_state::down &&
            (!domain_is_live[it.domain] || state.round % down_retry_period == 0)) {
            addresses.push_back(it.address);
        }
    }
    for (const auto& it : state.bootstrap_peers) {
        if (std::find(live.begin(), live.end(), it) == live.end()) {
            addresses.push_back(it);
        }
    }
    if (const auto* it = pick_random(state, addresses)) {
        start_exchange(state, out, *it, "", now);
    }
}

/// Retries the exchange with suspected members and asks another node to probe them (indirect probe).
void verify_suspects(gossip_state& state, peer_messages& out, time_point now) {
    std::size_t n = 0;
    for (const auto& [node, contact] : state.contacts) {
        const auto& suspect = state.members.find(node)->second;
        if (!contact.suspected || n == max_suspects_per_round || suspect.state == target_state::down) {
            continue;
        }
        ++n;
        start_exchange(state, out, suspect.address, node, now);
        std::vector<const member*> candidates;
        for (const auto& [name, it] : state.members) {
            if (name != node && may_exchange(state, it, now) && !state.contacts[name].suspected) {
                candidates.push_back(&it);
            }
        }
        // A node in a third domain is the most likely to reach both sides of a partition.
        const auto in_third_domain = [&](const member* it) {
            return it->domain != state.domain && it->domain != suspect.domain;
        };
        if (std::any_of(candidates.begin(), candidates.end(), in_third_domain) && state.round % 2 == 0) {
            std::erase_if(candidates, [&](const member* it) { return !in_third_domain(it); });
        }
        if (const auto* it = pick_random(state, candidates)) {
            queue_message(state, out, (*it)->address, (*it)->node, {{"f", state.self}, {"q", {node}}}, now);
        }
    }
}

error malformed(std::string_view detail) {
    return {error_kind::malformed, "a gossip message is malformed: " + std::string{detail},
            "check that all nodes run the same version"};
}

} // namespace

std::string table_digest(const gossip_state& state) {
    std::uint64_t sum = 0;
    for (const auto it : state.slices) {
        sum ^= it;
    }
    return hex(sum, 16);
}

gossip_state make_gossip_state(const member& own, std::vector<endpoint> bootstrap_peers, std::uint64_t seed,
                               invariant_table& invariants) {
    gossip_state state;
    state.self = own.node;
    state.domain = own.domain;
    state.members[own.node] = own;
    mark_changed(state, own.node, {});
    std::erase(bootstrap_peers, own.address);
    state.bootstrap_peers = std::move(bootstrap_peers);
    state.rng.seed(seed);
    state.invariants = &invariants;
    return state;
}

std::vector<const member*> random_peers(gossip_state& state, std::size_t n, time_point now) {
    std::vector<const member*> candidates;
    for (const auto& [node, it] : state.members) {
        if (may_exchange(state, it, now)) {
            candidates.push_back(&it);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), state.rng);
    candidates.resize(std::min(candidates.size(), n));
    return candidates;
}

peer_messages gossip_round(gossip_state& state, time_point now) {
    if (state.last_round != time_point{} && now - state.last_round > pause_limit) {
        // This process was suspended, so failed exchanges are no evidence against the other members.
        for (auto& [node, it] : state.contacts) {
            it.suspected.reset();
        }
    }
    state.last_round = now;
    ++state.round;
    state.slice_requests_this_round = 0;
    std::erase_if(state.indirect_probes, [&](const auto& it) { return it.second.until < now; });
    declare_down(state, now);
    remove_expired_members(state, now);
    peer_messages out;
    const bool other_domain = state.round % cross_domain_period == 0;
    const auto* peer = choose_peer(state, other_domain, now);
    if (peer == nullptr) {
        peer = choose_peer(state, !other_domain, now);
    }
    if (peer != nullptr) {
        start_exchange(state, out, peer->address, peer->node, now);
        verify_suspects(state, out, now);
    } else {
        auto candidates = state.bootstrap_peers;
        std::shuffle(candidates.begin(), candidates.end(), state.rng);
        candidates.resize(std::min(candidates.size(), bootstrap_fanout));
        for (const auto& it : candidates) {
            start_exchange(state, out, it, "", now);
        }
    }
    if (state.round % reconnect_period == 0) {
        retry_unreachable(state, out, now);
    }
    return out;
}

peer_messages set_own_entry(gossip_state& state, const member& own, time_point now) {
    auto& entry = state.members.find(state.self)->second;
    peer_messages out;
    if (entry.service == own.service && entry.state == own.state && entry.slots == own.slots &&
        entry.address == own.address) {
        return out;
    }
    const bool urgent = entry.state != own.state;
    entry.service = own.service;
    entry.state = own.state;
    entry.slots = own.slots;
    entry.address = own.address;
    ++entry.version;
    mark_changed(state, state.self, now);
    if (urgent) {
        push_changes(state, out, json::array({to_json(entry)}), now);
    }
    return out;
}

peer_messages set_own_config(gossip_state& state, config_id id, bool push, time_point now) {
    peer_messages out;
    state.config = std::move(id);
    state.members.find(state.self)->second.config_version = state.config.version;
    state.contacts[state.self].config_send_count = 0;
    if (state.newest_advert && state.newest_advert->id.version <= state.config.version) {
        state.newest_advert.reset();
    }
    if (push) {
        push_changes(state, out, json::array(), now);
    }
    return out;
}

result<gossip_answer> receive_gossip(gossip_state& state, std::string_view body, time_point now) {
    try {
        const auto message = parse_json_or_discard(body);
        gossip_answer answer;
        const auto sender = message.at("f").get<std::string>();
        apply_message(state, message, std::nullopt, answer.messages, now);
        json reply{{"f", state.self}};
        if (const auto it = message.find("q"); it != message.end()) {
            reply["k"] = answer_indirect_probes(state, *it, sender, answer.messages, now);
        }
        if (const auto it = message.find("h"); it != message.end()) {
            const auto& peer_digests = it->get_ref<const std::string&>();
            const auto own_digests = slice_digests(state);
            if (peer_digests.size() != own_digests.size()) {
                return malformed("the slice digests have an unexpected length");
            }
            std::vector<std::size_t> slices;
            for (std::size_t n = 0; n < gossip_slice_count; ++n) {
                if (own_digests.compare(n * slice_digits, slice_digits, peer_digests, n * slice_digits,
                                        slice_digits) != 0) {
                    slices.push_back(n);
                }
            }
            add_slices(state, reply, slices, affordable_entry_bytes(state, now), json::array());
            reply["z"] = slices;
        } else if (message.contains("d") &&
                   available_bytes(state.budget, now) >= 2 * request_overhead_bytes) {
            reply = make_message(state, sender, affordable_entry_bytes(state, now));
        }
        answer.body = reply.dump();
        const auto bytes = answer.body.size() + answer_overhead_bytes;
        charge_response_bytes(state.budget, bytes, now);
        state.bytes_sent += bytes;
        return answer;
    } catch (const json::exception& ex) {
        return malformed(ex.what());
    }
}

peer_messages receive_gossip_answer(gossip_state& state, const peer_message& sent, std::string_view body,
                                    time_point now) {
    peer_messages out;
    try {
        const auto message = parse_json_or_discard(body);
        const auto sender = message.at("f").get<std::string>();
        if (!sent.node.empty() && sender != sent.node) {
            // Another node answers at this address, so the expected one is no longer there.
            exchange_failed(state, sent, now);
        }
        apply_message(state, message, sent.to, out, now);
        const peer_message peer{sent.to, sender, ""};
        if (const auto it = message.find("z"); it != message.end()) {
            const auto slices = it->get<std::vector<std::size_t>>();
            json rest{{"f", state.self}};
            add_slices(state, rest, slices, affordable_entry_bytes(state, now),
                       message.value("m", json::array()));
            if (rest.contains("m")) {
                queue_message(state, out, peer.to, peer.node, rest, now);
            }
            if (slices.size() > slices_in_one_message) {
                request_slices(state, out, peer, now);
            }
        } else if (message.contains("d") && message.at("d") != table_digest(state)) {
            const auto peer_count = message.value("n", std::size_t{0});
            const bool far_behind = 10 * live_count(state) < 9 * peer_count;
            if (far_behind || state.round % slice_period == 0 || !has_pending_changes(state)) {
                request_slices(state, out, peer, now);
            }
        }
    } catch (const json::exception& ex) {
        log(log_level::warning, "membership", malformed(ex.what()).message, {{"peer", to_string(sent.to)}});
    }
    return out;
}

void exchange_failed(gossip_state& state, const peer_message& sent, time_point now) {
    const auto it = state.members.find(sent.node);
    if (it == state.members.end() || it->second.state == target_state::down || sent.node == state.self) {
        return;
    }
    auto& contact = state.contacts[sent.node];
    if (!contact.suspected && contact.avoid_until <= now) {
        contact.suspected = now;
    }
}

} // namespace baobabswitch
