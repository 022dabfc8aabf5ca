#pragma once

#include "deployment.h"
#include "loadgenerator.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace baobabswitch {

/// Purpose of a phase of a scenario; the measures select and compare phases by role.
enum class phase_role {
    warm_up,      ///< not measured
    level,        ///< goodput at a constant demand
    reference,    ///< baseline before a disturbance
    slowed,       ///< one target is slowed
    with_long,    ///< short and long kinds mixed
    without_long, ///< the same without the long kind
    crest,        ///< rise of the demand and its maximum
    surge,        ///< overload, partition or outage; recovery is measured from its end
    after_surge,
    disturbed, ///< restarts or concurrent changes of the configuration
};

/// A time interval of a scenario. The demand is a multiple of capacity and changes linearly from demand_from
/// to demand_to.
struct phase {
    std::string name;
    phase_role role = phase_role::level;
    double seconds = 1;
    double demand_from = 0;
    double demand_to = 0;
    client_retry_policy retry_policy;
    std::map<std::string, double> weights; ///< factor on the share of each kind; 1 if not listed
    /// Runs on its own thread when the phase begins. Receives the phase's length in seconds and returns
    /// results for the report, or null.
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
    double demand = 0.5; ///< demand of the scenario steady, as a multiple of capacity
    double seconds = 10; ///< length of the scenario steady; other scenarios have fixed lengths
};

/// Returns the scenarios for a workload that is already scaled down.
std::vector<scenario> make_scenarios(const workload& load, const scenario_options& options);

/// Returns the kind with the longest service time among those that clients send.
std::string longest_kind(const workload& load);
/// Returns the most important kind among those that clients send.
std::string most_important_kind(const workload& load);
/// Returns the kind with the greatest share of the client requests.
std::string most_frequent_kind(const workload& load);

/// Returns the request rate at a time in seconds since the start, as a multiple of capacity.
double demand_at(const std::vector<phase>& phases, double seconds);
/// Returns the phase at a time in seconds since the start, or the last phase after the end.
const phase& phase_at(const std::vector<phase>& phases, double seconds);
double total_seconds(const std::vector<phase>& phases);

} // namespace baobabswitch
