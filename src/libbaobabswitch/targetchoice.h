#pragma once

#include "calltypes.h"
#include "membership.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace baobabswitch {

using random_engine = std::mt19937_64;

/// What this node itself has measured about one target.
struct target_stats {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string domain;
    endpoint address;
    std::size_t slots = 1;
    bool available = true;       ///< up, as far as membership knows
    unsigned outstanding = 0;    ///< calls without an answer yet
    double relative_latency = 1; ///< smoothed latency, relative to the usual one of the kind
    std::uint64_t samples = 0;
    time_point last_sample;
    double wait_ms = 0; ///< queue wait that the node beside the target reported last
    time_point wait_reported;
    unsigned failures_in_row = 0;
    time_point ramp_start; ///< a new or returning target takes its full share 10 s later
    bool ejected = false;
    time_point ejected_until;
    unsigned ejections = 0; ///< in a row; each one lasts longer
    bool probing = false;   ///< a single call tests a target whose ejection is over
};

/// Usual latency of calls of one kind, over all targets of its service.
struct kind_latency {
    double mean_ms = 0;
    std::uint64_t samples = 0;
};

/// Targets of all services, by node id.
struct target_table {
    std::map<std::string, target_stats, std::less<>> targets;
    std::map<std::string, std::size_t, std::less<>> round_robin; ///< per service, for the baselines
    std::map<std::string, kind_latency, std::less<>> kinds;
    std::optional<time_point> started; ///< first update of the table
    std::string node;                  ///< this node, for its subset of the targets
    std::string domain;                ///< of this node
    std::map<std::string, std::vector<std::string>, std::less<>> subsets; ///< targets used, by service
};

/// Takes over members that have a target; measurements of a known incarnation are kept.
void update_targets(target_table& table, const member_table& members, time_point now);

/// Chooses the better of two random targets of a service, leaving out those already tried.
std::optional<std::string> choose_target(target_table& table, std::string_view service,
                                         std::span<const std::string> tried, random_engine& rng,
                                         time_point now);

/// Chooses targets of a service in turn; the baselines use it.
std::optional<std::string> choose_round_robin(target_table& table, std::string_view service,
                                              std::span<const std::string> tried);

void record_call_sent(target_table& table, std::string_view node);

/// What a call to a target has shown.
struct call_result {
    std::string_view kind;
    outcome_kind outcome = outcome_kind::unknown;
    bool failed = false;             ///< no answer from the target, or none in time
    std::optional<duration> latency; ///< if the target answered
    milliseconds wait{0};            ///< reported queue wait
};

/// Records the end of a call.
void record_call_ended(target_table& table, std::string_view node, const call_result& ended, time_point now);

/// Ejects targets that are three times slower than the median of their peers or failed 5 times in a row, and
/// ends ejections whose time is over. At most a third of a service's targets is ejected at a time.
void update_ejections(target_table& table, time_point now);

} // namespace baobabswitch
