#include "peerprobe.h"

namespace baobabswitch {

namespace {

/// A peer is probed once a call to it has been outstanding for this long.
constexpr milliseconds slow_call_threshold{300};
/// Together with probe_timeout this detects a silent peer within 2 s: two missed probes take at most
/// slow_call_threshold + 2 * probe_period, plus up to one 100 ms tick for each of these intervals.
constexpr milliseconds probe_period{300};
constexpr unsigned missed_probes_until_silent = 2;

} // namespace

void record_call_sent(probe_table& table, const std::string& node, time_point now) {
    table.peers[node].outstanding.insert(now);
}

void record_call_ended(probe_table& table, std::string_view node, time_point sent_at) {
    const auto it = table.peers.find(node);
    if (it == table.peers.end()) {
        return;
    }
    auto& calls = it->second.outstanding;
    if (const auto call = calls.find(sent_at); call != calls.end()) {
        calls.erase(call);
    }
    if (calls.empty() && !it->second.silent && !it->second.probe_in_flight) {
        table.peers.erase(it);
    }
}

std::vector<std::string> due_probes(probe_table& table, time_point now) {
    std::vector<std::string> due;
    for (auto& [node, it] : table.peers) {
        const bool slow = !it.outstanding.empty() && now - *it.outstanding.begin() >= slow_call_threshold;
        if ((slow || it.silent) && !it.probe_in_flight && now - it.last_probe_at >= probe_period) {
            it.probe_in_flight = true;
            it.last_probe_at = now;
            due.push_back(node);
        }
    }
    return due;
}

bool record_probe_result(probe_table& table, std::string_view node, bool answered) {
    const auto it = table.peers.find(node);
    if (it == table.peers.end()) {
        return false;
    }
    auto& peer = it->second;
    peer.probe_in_flight = false;
    const bool was_silent = peer.silent;
    peer.missed_probes = answered ? 0 : peer.missed_probes + 1;
    peer.silent = !answered && (was_silent || peer.missed_probes >= missed_probes_until_silent);
    const bool changed = peer.silent != was_silent;
    if (peer.outstanding.empty() && !peer.silent) {
        table.peers.erase(it);
    }
    return changed;
}

bool is_silent(const probe_table& table, std::string_view node) {
    const auto it = table.peers.find(node);
    return it != table.peers.end() && it->second.silent;
}

void remove_peer(probe_table& table, std::string_view node) {
    if (const auto it = table.peers.find(node); it != table.peers.end()) {
        table.peers.erase(it);
    }
}

} // namespace baobabswitch
