#pragma once

#include "calltypes.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Demand at the target beside this node, and the level from which it is admitted.
///
/// A level is an importance with a fraction: at 5.75 all calls above importance 5 are admitted, a quarter of
/// those at 5, and none below. The fraction keeps goodput steady when one kind alone crosses the capacity.
struct demand_meter {
    std::array<double, max_importance + 1> arrived_ms{}; ///< slot time asked for since the last update
    std::array<double, max_importance + 1> slots{};      ///< slots needed, smoothed, by importance
    double short_slots = 0;                              ///< slots needed by short kinds, smoothed
    double short_arrived_ms = 0;
    time_point updated;
    double level = 0;
};

/// Counts a call that arrived. `weight` is how many calls of its kind the sender had for each that it sent.
void count_demand(demand_meter& meter, importance_level importance, double expected_ms, double weight,
                  bool is_long);

/// Recomputes the level from the demand since the last update. `backlog` is the number of calls at or above
/// the present level that wait.
void update_level(demand_meter& meter, double slots, double backlog, time_point now);

/// Levels learnt from answers, by service and the node that answered.
struct threshold_table {
    struct report {
        threshold_list levels;
        time_point at;
    };
    std::map<std::string, std::map<std::string, report, std::less<>>, std::less<>> reports;
};

/// Takes over the levels that a node reported for the kinds of its service. Kinds without a level count as 0.
void learn_thresholds(threshold_table& table, const std::string& service, const std::string& node,
                      threshold_list levels, time_point now);

/// Returns the level in force for a kind: the mean over its targets, falling to 0 when reports stop.
double threshold_level(const threshold_table& table, std::string_view service, std::string_view kind,
                       time_point now);

/// Levels below this node's target: what the answers to the target's child calls reported, by the kind of the
/// parent and the kind of the child.
struct downstream_levels {
    struct child_level {
        double level = 0;
        time_point at;
    };
    std::map<std::string, std::map<std::string, child_level, std::less<>>, std::less<>> children;
};

/// Takes over the level that holds for the children of one kind that calls of a parent's kind cause.
void learn_child_level(downstream_levels& downstream, const std::string& parent_kind,
                       const std::string& child_kind, double level, time_point now);

/// Returns the levels to report for the kinds of this node's service: the greater of the own level and those
/// below. Levels of 0 are left out.
threshold_list report_thresholds(const downstream_levels& downstream, double own_level,
                                 std::span<const std::string> kinds, time_point now);

/// Returns the share of calls that are sent at a level: 1 above it, 0 below it except for probes. Child calls
/// at the boundary pass, because the fraction was applied when their request entered.
double admitted_share(double level, importance_level importance, unsigned depth);

/// Writes levels as "kind=5.75,kind=2", and reads them; malformed parts are left out.
std::string format_thresholds(const threshold_list& levels);
threshold_list parse_thresholds(std::string_view text);

} // namespace baobabswitch
