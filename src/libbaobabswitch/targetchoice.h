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

/// State and measurements of one target, as seen by this node.
struct target_stats {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string domain;
    endpoint address;
    std::size_t slots = 1;
    bool available = true;       ///< up according to membership
    unsigned outstanding = 0;    ///< calls in flight to the target
    double relative_latency = 1; ///< smoothed ratio of latency to the mean latency of the kind
    std::uint64_t samples = 0;
    time_point last_sample;
    double wait_ms = 0; ///< queue wait last reported by the target's node
    time_point wait_reported;
    unsigned failures_in_row = 0;
    time_point ramp_start; ///< start of the slow start; the full share of calls is reached 10 s later
    bool ejected = false;
    time_point ejected_until;
    unsigned ejections = 0; ///< consecutive ejections; the duration doubles each time up to a limit
    bool probing = false;   ///< a single probe call is in flight after an ejection
};

/// Mean latency of calls of one kind over all targets of its service.
struct kind_latency {
    double mean_ms = 0;
    std::uint64_t samples = 0;
};

/// Targets of all services, by node id.
struct target_table {
    std::map<std::string, target_stats, std::less<>> targets;
    std::map<std::string, std::size_t, std::less<>> round_robin; ///< next position, by service
    std::map<std::string, kind_latency, std::less<>> kinds;
    std::optional<time_point> started; ///< time of the first update
    std::string node;                  ///< id of this node, which determines its subsets
    std::string domain;                ///< failure domain of this node
    std::map<std::string, std::vector<std::string>, std::less<>> subsets; ///< targets used, by service
};

/// Updates the targets from the membership. Measurements are kept unless the incarnation changed.
void update_targets(target_table& table, const member_table& members, time_point now);

/// Chooses a target of a service by the power of two random choices, excluding those already tried.
std::optional<std::string> choose_target(target_table& table, std::string_view service,
                                         std::span<const std::string> tried, random_engine& rng,
                                         time_point now);

/// Chooses a target of a service by round robin; used by the baseline policies.
std::optional<std::string> choose_round_robin(target_table& table, std::string_view service,
                                              std::span<const std::string> tried);

void record_call_sent(target_table& table, std::string_view node);

/// Result of a call to a target, as input for the target measurements.
struct call_result {
    std::string_view kind;
    outcome_kind outcome = outcome_kind::unknown;
    bool failed = false;             ///< no response, or none within the timeout
    std::optional<duration> latency; ///< set if the target responded
    milliseconds wait{0};            ///< reported queue wait
};

/// Updates the measurements of a target after a call.
void record_call_ended(target_table& table, std::string_view node, const call_result& ended, time_point now);

/// Ejects outliers: targets that are three times slower than the median of their peers or failed 5
/// consecutive calls. At most a third of a service's available targets is ejected at a time; if targets leave
/// and more than a third are ejected, the fastest of them are readmitted.
void update_ejections(target_table& table, time_point now);

} // namespace baobabswitch
