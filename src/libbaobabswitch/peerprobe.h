#pragma once

#include "eventloop.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

inline constexpr milliseconds probe_timeout{300};

/// Outstanding calls to one peer, and the state of its probes.
struct probed_peer {
    std::multiset<time_point> outstanding; ///< send times of calls without an answer
    time_point last_probe_at;
    unsigned missed_probes = 0; ///< consecutive probes without an answer
    bool probe_in_flight = false;
    bool silent = false; ///< missed two probes; gets no calls until it answers one
};

/// Probe state of peers (design §6), by node id. Only silent peers and peers with a slow call are probed.
struct probe_table {
    std::map<std::string, probed_peer, std::less<>> peers;
};

void record_call_sent(probe_table& table, const std::string& node, time_point now);
void record_call_ended(probe_table& table, std::string_view node, time_point sent_at);

/// Returns the peers to probe now and marks their probes as in flight.
std::vector<std::string> due_probes(probe_table& table, time_point now);

/// Records the result of a probe; returns whether the peer became silent or responsive again.
bool record_probe_result(probe_table& table, std::string_view node, bool answered);

bool is_silent(const probe_table& table, std::string_view node);

/// Removes the state of a peer that is no longer a member.
void remove_peer(probe_table& table, std::string_view node);

} // namespace baobabswitch
