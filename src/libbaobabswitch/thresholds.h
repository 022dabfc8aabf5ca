#pragma once

#include "calltypes.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Measured demand at the local target, and the resulting admission threshold, called level.
///
/// A level is an importance with a fraction. At 5.75, all calls above importance 5 are admitted, a quarter of
/// those at 5, and none below. The fraction keeps goodput steady when a single kind exceeds the capacity.
struct demand_meter {
    std::array<double, max_importance + 1> arrived_ms{}; ///< slot time requested since the last update
    std::array<double, max_importance + 1> slots{};      ///< smoothed demand in slots, by importance
    double short_slots = 0;                              ///< smoothed demand of short kinds in slots
    double short_arrived_ms = 0;
    time_point updated;
    double level = 0;
};

/// Counts an arrived call. `weight` is the number of offered calls of its kind per call that the sender sent.
void count_demand(demand_meter& meter, importance_level importance, double expected_ms, double weight,
                  bool is_long);

/// Recomputes the level from the demand since the last update. `backlog` is the number of waiting calls at or
/// above the current level.
void update_level(demand_meter& meter, double slots, double backlog, time_point now);

/// Levels reported in responses, by service and reporting node.
struct threshold_table {
    struct report {
        threshold_list levels;
        time_point at;
    };
    std::map<std::string, std::map<std::string, report, std::less<>>, std::less<>> reports;
};

/// Stores the levels that a node reported for the kinds of its service. Kinds without a level count as 0.
void store_thresholds(threshold_table& table, const std::string& service, const std::string& node,
                      threshold_list levels, time_point now);

/// Returns the current level of a kind: the mean over its targets, which decays to 0 when reports stop.
double threshold_level(const threshold_table& table, std::string_view service, std::string_view kind,
                       time_point now);

/// Levels downstream of the local target, reported in responses to its child calls, by parent kind and child
/// kind.
struct downstream_levels {
    struct child_level {
        double level = 0;
        time_point at;
    };
    std::map<std::string, std::map<std::string, child_level, std::less<>>, std::less<>> children;
};

/// Stores the level of a child kind for calls of a parent kind.
void store_child_level(downstream_levels& downstream, const std::string& parent_kind,
                       const std::string& child_kind, double level, time_point now);

/// Returns the levels to report for the kinds of this node's service: the maximum of its own level and the
/// downstream levels. Levels of 0 are omitted.
threshold_list report_thresholds(const downstream_levels& downstream, double own_level,
                                 std::span<const std::string> kinds, time_point now);

/// Returns the share of calls to send: 1 above the level, and a small share of probes below it. Child calls
/// at the importance that the level cuts are all sent, because the fraction was already applied to their
/// request at its entry node.
double admitted_share(double level, importance_level importance, unsigned depth);

/// Formats levels as "kind=5.75,kind=2", and parses them; malformed parts are ignored.
std::string format_thresholds(const threshold_list& levels);
threshold_list parse_thresholds(std::string_view text);

} // namespace baobabswitch
