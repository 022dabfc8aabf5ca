#pragma once

#include "deployment.h"
#include "loadgenerator.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace baobabswitch {

/// What a phase of a scenario is for; the measures compare phases by their role.
enum class phase_role {
    warm_up,   ///< not measured
    level,     ///< goodput at a steady demand
    reference, ///< the state before a disturbance
    slowed,    ///< one target is slowed
    with_long, ///< short and long kinds together
    without_long,
    crest,
    surge,
    after_surge,
    disturbed, ///< stops, cuts and outages
};

/// A stretch of a scenario with one kind of load. The demand is a multiple of capacity and changes in a
/// straight line.
struct phase {
    std::string name;
    phase_role role = phase_role::level;
    double seconds = 1;
    double demand_from = 0;
    double demand_to = 0;
    client_behaviour clients;
    std::map<std::string, double> weights; ///< factor on the share of a kind; 1 for the others
    /// Runs on its own thread when the phase begins; gets the phase's length in seconds and returns what it
    /// found, or null.
    std::function<nlohmann::json(deployment&, double)> on_start;
};

struct scenario {
    std::string name;
    std::string purpose;
    std::vector<phase> phases;
    bool proxied = false;  ///< needs the fault proxy
    bool platform = false; ///< needs the stand-in platform
};

struct scenario_options {
    double demand = 0.5; ///< of the scenario steady
    double seconds = 10; ///< of the scenario steady; others have their own lengths
};

/// Returns the scenarios for a workload (already scaled).
std::vector<scenario> make_scenarios(const workload& load, const scenario_options& options);

/// Returns the kind with the longest service time among those that clients send.
std::string longest_kind(const workload& load);
/// Returns the most important kind among those that clients send.
std::string most_important_kind(const workload& load);
/// Returns the kind with the greatest share.
std::string most_frequent_kind(const workload& load);

/// Returns the rate of requests at a time since the start, as a multiple of capacity.
double demand_at(const std::vector<phase>& phases, double seconds);
/// Returns the phase at a time since the start; the last one afterwards.
const phase& phase_at(const std::vector<phase>& phases, double seconds);
double total_seconds(const std::vector<phase>& phases);

} // namespace baobabswitch
