#pragma once

#include "eventloop.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

inline constexpr milliseconds probe_timeout{300};

/// Calls to one peer that have no answer yet, and its probes.
struct probed_peer {
    std::multiset<time_point> outstanding; ///< when the calls were sent
    time_point last_probe;
    unsigned missed_probes = 0; ///< probes in a row without an answer
    bool in_flight = false;
    bool silent = false; ///< two misses; takes no calls until it answers a probe
};

/// Probes of peers (design §6), by node id. Only peers with calls outstanding, or silent ones, are probed.
struct probe_table {
    std::map<std::string, probed_peer, std::less<>> peers;
};

void note_call_sent(probe_table& table, const std::string& node, time_point now);
void note_call_ended(probe_table& table, std::string_view node, time_point sent_at);

/// Returns the peers to probe now and counts their probes as in flight.
std::vector<std::string> due_probes(probe_table& table, time_point now);

/// Records the end of a probe and reports whether the peer became silent or came back.
bool note_probe_ended(probe_table& table, std::string_view node, bool answered);

bool is_silent(const probe_table& table, std::string_view node);

/// Forgets a peer that is no longer a member.
void remove_peer(probe_table& table, std::string_view node);

} // namespace baobabswitch
