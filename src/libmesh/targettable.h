#pragma once

#include "bootclock.h"
#include "erarevision.h"
#include "httpmessage.h"
#include "nodepresence.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Largest plausible number of slots. A slot is a connection in use, and a node has at most this many ports
/// for connections to one target.
inline constexpr unsigned max_target_slots = 65'535;

/// Returns whether a text can be the id of a target's incarnation: 1 to 256 visible ASCII characters. Others
/// can't be sent in a header field.
bool is_instance_id(std::string_view text);

/// Published state of the target beside a node.
struct target_entry {
    std::string node;
    endpoint peer; ///< the node's address for calls from other nodes
    std::string domain;
    std::string service;
    std::string instance;
    unsigned slots = 0;
    bool accepting = false;       ///< its node sends new calls to it
    bool leaving = false;         ///< this incarnation of the target receives no new calls
    std::uint64_t started_ms = 0; ///< Unix time of the target's start
    era_revision revision;        ///< of the stored object

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// Load that the node beside a target reports with each response.
struct load_report {
    double running = 0;  ///< calls in the target
    double waiting = 0;  ///< calls in the node's queue
    double capacity = 0; ///< usable slots; 0 if unknown
    double slowness = 1; ///< recent service time over the baseline; 1 is normal
};

/// State of a target as seen by one node.
struct target_view {
    target_entry entry;
    node_presence presence; ///< of the node beside it
    load_report report;
    boot_time_point reported_at{};
    unsigned in_flight = 0;           ///< calls of this node
    unsigned in_flight_at_report = 0; ///< value of in_flight when the report arrived
    boot_time_point avoid_until{};    ///< set after a failure to reach it or a refusal
    unsigned consecutive_failures = 0;
    double failure_rate = 0; ///< value at failure_rate_at, see failure_rate()
    boot_time_point failure_rate_at{};
};

/// All targets known to this node, by node name.
struct target_table {
    std::map<std::string, target_view, std::less<>> by_node;
};

/// Adds or replaces an entry. An older entry never replaces a newer one: the revisions are compared, or the
/// start times of the targets if a revision is unknown. Returns whether the table changed.
bool update_target(target_table& table, const target_entry& it);

/// Returns the number of nodes with an entry, without those that are gone; see is_gone().
std::size_t present_nodes(const target_table& table, boot_time_point now);

/// Returns the number of nodes with an entry that are lost; see is_lost().
std::size_t count_lost_nodes(const target_table& table);

/// Removes the entry of a node.
void remove_target(target_table& table, std::string_view node);

/// Parameters of the choice of a target.
struct choice_inputs {
    std::string_view service;
    std::string_view own_domain;
    std::span<const std::string> excluded; ///< nodes that were already tried
    boot_time_point now;
    double jitter = 0; ///< uniform in [0, 1)
};

/// Returns the target with the best score of load, slowness and failure rate. Prefers the local failure
/// domain unless a target elsewhere is clearly less loaded. A target that is being avoided, or whose node is
/// lost, is chosen only if there is no other. Returns null if no target accepts calls.
target_view* choose_target(target_table& table, const choice_inputs& inputs);

/// Records a load report.
void record_report(target_view& it, const load_report& report, boot_time_point now);
/// Records that a target could not be used. It is avoided for a time that doubles with each consecutive
/// failure.
void record_unavailable(target_view& it, boot_time_point now);
/// Records that a target was reached.
void record_available(target_view& it);

/// Records whether a call that reached the target was answered.
void record_outcome(target_view& it, bool answered, boot_time_point now);

/// Returns the recent fraction of calls that reached the target but were not answered. It halves every 2 s
/// without calls, so that the target is tried again.
double failure_rate(const target_view& it, boot_time_point now);

/// Returns the expected load of a target as a fraction of its capacity, including queued calls.
double expected_load(const target_view& it, boot_time_point now);

} // namespace baobabswitch
