#pragma once

#include "bootclock.h"
#include "httpmessage.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// What a node publishes of the target beside it.
struct target_entry {
    std::string node;
    endpoint peer; ///< where the node takes calls from other nodes
    std::string domain;
    std::string service;
    std::string instance;
    unsigned slots = 0;
    bool accepting = false;       ///< its node hands it new calls
    bool leaving = false;         ///< this start of the target gets no new calls any more
    std::uint64_t started_ms = 0; ///< Unix time of the target's start
    std::uint64_t revision = 0;   ///< of the stored object; 0 when it came from a peer

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// Load that the node beside a target tells with each of its answers.
struct load_report {
    double running = 0; ///< calls in the target
    double waiting = 0; ///< calls queued beside it
    double capacity = 0;
    double slowness = 1; ///< service time over the service's usual, 1 as usual
};

/// A target as one node sees it.
struct target_view {
    target_entry entry;
    load_report report;
    boot_time_point reported_at{};
    unsigned in_flight = 0;           ///< calls of this node
    unsigned in_flight_at_report = 0; ///< of them, when the report came
    boot_time_point avoid_until{};    ///< after a failure to reach it or a refusal
    unsigned consecutive_failures = 0;
    double failure_rate = 0; ///< part of the calls that it got and did not answer, lately
    boot_time_point failure_rate_at{};
};

/// All targets that this node knows, by node name.
struct target_table {
    std::map<std::string, target_view, std::less<>> by_node;
};

/// Adds or replaces an entry. An older incarnation of the same node's target never replaces a newer one.
/// Returns whether the table changed.
bool update_target(target_table& table, const target_entry& it);

/// Removes the entry of a node.
void remove_target(target_table& table, std::string_view node);

/// What a choice of a target depends on.
struct choice_inputs {
    std::string_view service;
    std::string_view own_domain;
    std::span<const std::string> excluded; ///< nodes that were tried
    boot_time_point now;
    double jitter = 0; ///< uniform in [0, 1)
};

/// Returns the target with the least expected wait, in the own failure domain unless another is clearly less
/// loaded; null if none is offered.
target_view* choose_target(target_table& table, const choice_inputs& inputs);

/// Records a report.
void record_report(target_view& it, const load_report& report, boot_time_point now);
/// Records that a target could not be used; it is avoided for a time that doubles with each failure in a row.
void record_unavailable(target_view& it, boot_time_point now);
/// Records that a target was reached.
void record_available(target_view& it);

/// Records whether a call that reached the target was answered.
void record_outcome(target_view& it, bool answered, boot_time_point now);

/// Returns the part of its calls that a target did not answer lately; it halves with each 2 s without calls,
/// so that the target is tried again.
double failure_rate(const target_view& it, boot_time_point now);

/// Returns the expected load of a target as a fraction of its capacity, queue included.
double expected_load(const target_view& it, boot_time_point now);

} // namespace baobabswitch
