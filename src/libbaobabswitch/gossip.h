#pragma once

#include "bytebudget.h"
#include "eventloop.h"
#include "invariants.h"
#include "membership.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Version and digest of a configuration, as nodes tell each other.
struct config_id {
    std::uint64_t version = 0;
    std::string digest; ///< empty: the node has no configuration yet
};

/// Slices of the member table; at 610 members one holds about ten entries, which fit in 1 KB.
inline constexpr std::size_t gossip_slice_count = 64;

/// A message for POST /n/gossip at another node.
struct peer_message {
    endpoint to;
    std::string node; ///< the node expected there; empty when only the address is known
    std::string body;
};
using peer_messages = std::vector<peer_message>;

/// What this node itself knows about a member, beside the entry that all nodes share.
struct member_contact {
    time_point last_message_at; ///< last message from the member itself; the epoch if none
    time_point changed;
    std::optional<time_point> suspected; ///< first failed exchange since the last sign of life
    time_point avoid_until;              ///< not reached from here, though another node reaches it
    unsigned sent = 0;                   ///< messages that carried the entry since it changed
    unsigned config_sent = 0;            ///< messages that carried its configuration version
    std::uint64_t hash = 0;              ///< of the entry; 0 for a member that is down
};

/// A member that another node asked this one to reach.
struct indirect_probe {
    endpoint requester;
    std::string requester_node;
    time_point until;
};

/// A configuration version that another node has.
struct config_advert {
    endpoint from;
    config_id id;
};

/// Membership as one node sees it. All functions below are pure state machines over it: they get the time
/// and return the messages to send.
struct gossip_state {
    std::string self;
    std::string domain;
    member_table members; ///< includes the node itself
    std::map<std::string, member_contact, std::less<>> contacts;
    std::vector<endpoint> bootstrap_peers;      ///< seeds, and addresses from status objects
    config_id config;                           ///< in force here
    std::optional<config_advert> newest_advert; ///< newest version heard of that is above the one in force
    byte_budget budget;
    std::map<std::string, indirect_probe, std::less<>> indirect_probes;
    /// XOR of the entries' hashes by slice, the digests that nodes compare. Members that are down are left
    /// out: a node that has forgotten one must not be told again.
    std::array<std::uint64_t, gossip_slice_count> slices{};
    std::uint64_t revision = 0; ///< grows with each change of members
    unsigned round = 0;
    unsigned slice_requests_this_round = 0;
    time_point last_round;
    time_point last_contact; ///< last message or answer from any node
    std::mt19937_64 rng;
    invariant_table* invariants = nullptr;
    std::uint64_t bytes_sent = 0;
    bool superseded = false; ///< a newer incarnation of this node's id was seen
};

gossip_state make_gossip_state(const member& own, std::vector<endpoint> bootstrap_peers, std::uint64_t seed,
                               invariant_table& invariants);

/// Starts the exchanges of one round; call it once a second.
peer_messages gossip_round(gossip_state& state, time_point now);

/// Changes the node's own entry. A change of its state is pushed to four peers at once.
peer_messages set_own_entry(gossip_state& state, const member& own, time_point now);

/// Sets the configuration in force; `push` announces it to four peers at once.
peer_messages set_own_config(gossip_state& state, config_id id, bool push, time_point now);

struct gossip_answer {
    std::string body;
    peer_messages messages;
};

/// Handles a message from another node. Fails with malformed.
result<gossip_answer> receive_gossip(gossip_state& state, std::string_view body, time_point now);

/// Handles the answer to a message.
peer_messages receive_gossip_answer(gossip_state& state, const peer_message& sent, std::string_view body,
                                    time_point now);

/// Handles a message without an answer.
void exchange_failed(gossip_state& state, const peer_message& sent, time_point now);

/// Returns the digest over all members that are not down.
std::string table_digest(const gossip_state& state);

/// Returns up to n random members that are not down, without the node itself.
std::vector<const member*> random_peers(gossip_state& state, std::size_t n, time_point now);

/// Bytes that a message takes beside its body: request line, headers with the MAC, and framing.
inline constexpr std::size_t request_overhead_bytes = 330;
inline constexpr std::size_t answer_overhead_bytes = 100;

} // namespace baobabswitch
