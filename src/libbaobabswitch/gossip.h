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

/// Version and digest of a configuration, as exchanged between nodes.
struct config_id {
    std::uint64_t version = 0;
    std::string digest; ///< empty: the node has no configuration yet
};

/// Number of hash slices of the member table. With 610 members a slice has about ten entries, which fit 1 KB.
inline constexpr std::size_t gossip_slice_count = 64;

/// A POST /n/gossip request to another node.
struct peer_message {
    endpoint to;
    std::string node; ///< id of the expected receiver; empty if only the address is known
    std::string body;
};
using peer_messages = std::vector<peer_message>;

/// Local state about a member; unlike its entry it is not exchanged with other nodes.
struct member_contact {
    time_point last_message_at; ///< last message from the member itself; the clock's epoch if none arrived
    time_point changed_at;
    std::optional<time_point> suspected; ///< first failed exchange since the last contact
    time_point avoid_until;         ///< not chosen for exchanges before this time: only other nodes reach it
    unsigned entry_send_count = 0;  ///< messages sent with the entry since it changed
    unsigned config_send_count = 0; ///< messages sent with its configuration version since a change
    std::uint64_t hash = 0;         ///< hash of the entry; 0 while the member is down
};

/// A request by another node to probe a member for it.
struct indirect_probe {
    endpoint requester;
    std::string requester_node;
    time_point until;
};

/// A configuration version advertised by another node.
struct config_advert {
    endpoint from;
    config_id id;
};

/// Membership state of one node. The functions below do no I/O and read no clock: they take the current time
/// and return the messages to send.
struct gossip_state {
    std::string self;
    std::string domain;
    member_table members; ///< includes the node itself
    std::map<std::string, member_contact, std::less<>> contacts;
    std::vector<endpoint> bootstrap_peers;      ///< seeds, and addresses read from status objects
    config_id config;                           ///< configuration in force at this node
    std::optional<config_advert> newest_advert; ///< newest advertised version above the one in force
    byte_budget budget;
    std::map<std::string, indirect_probe, std::less<>> indirect_probes;
    /// XOR of the entry hashes of each slice; nodes compare these digests. Members that are down are
    /// excluded, so that a node which has removed one doesn't receive it again.
    std::array<std::uint64_t, gossip_slice_count> slices{};
    std::uint64_t revision = 0; ///< incremented on each change of members
    unsigned round = 0;
    unsigned slice_requests_this_round = 0;
    time_point last_round;
    time_point last_contact; ///< last message or answer from any node
    std::mt19937_64 rng;
    invariant_table* invariants = nullptr;
    std::uint64_t bytes_sent = 0;
    bool superseded = false; ///< a newer incarnation of this node's id was reported
};

gossip_state make_gossip_state(const member& own, std::vector<endpoint> bootstrap_peers, std::uint64_t seed,
                               invariant_table& invariants);

/// Starts the exchanges of one round and declares members down that stayed suspected. Call it once a second.
peer_messages gossip_round(gossip_state& state, time_point now);

/// Updates the node's own entry. A change of its state is pushed to four peers immediately.
peer_messages set_own_entry(gossip_state& state, const member& own, time_point now);

/// Sets the configuration in force; with `push` it is sent to four peers immediately.
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

/// Handles a message that got no answer: suspects the receiver.
void exchange_failed(gossip_state& state, const peer_message& sent, time_point now);

/// Returns the digest over all members that are not down.
std::string table_digest(const gossip_state& state);

/// Returns up to n random members other than this node that may be contacted: neither down nor avoided.
std::vector<const member*> random_peers(gossip_state& state, std::size_t n, time_point now);

/// Size of a request without its body: request line, headers with the MAC, and framing.
inline constexpr std::size_t request_overhead_bytes = 330;
inline constexpr std::size_t answer_overhead_bytes = 100;

} // namespace baobabswitch
