#pragma once

#include "admissionlevel.h"
#include "bootclock.h"
#include "concurrencylimiter.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Load and size of a modelled fleet. Requests start at entry nodes and, after work at other services, call
/// the tightest service; each entry node refuses by its own estimates, as outboundcalls does.
struct fleet_options {
    std::uint64_t seed = 1;
    unsigned entry_nodes = 80;
    unsigned targets = 5; ///< of the tightest service
    unsigned slots = 59;  ///< of each target
    double call_ms = 64;  ///< mean service time of a call at the tightest service
    double seconds = 20;
    double count_from_s = 0;      ///< requests sent earlier are played but not counted
    double requests_per_s = 1000; ///< mean over a wave
    double wave_swing = 0.55;
    double wave_s = 15;
    double surge_from_s = 0;
    double surge_to_s = 0;
    double surge_factor = 1;
};

/// A kind of request and what its callers got.
struct fleet_kind {
    std::string name;
    unsigned rank = 0;
    double worth = 1;
    double share = 0;    ///< of the requests
    double work_ms = 0;  ///< at other services, before the calls
    unsigned chains = 1; ///< sequences of calls that run together
    unsigned calls = 1;  ///< in each chain, one after the other
    double timeout_ms = 1500;
    double objective_ms = 1500;
    unsigned asked = 0;
    unsigned served = 0;  ///< within the objective
    unsigned refused = 0; ///< at entry
    unsigned failed = 0;  ///< after they had been admitted
};

struct fleet_report {
    std::vector<fleet_kind> kinds;
    double worth = 0; ///< served, as a share of what was asked
    double busy = 0;  ///< mean share of the usable slots that ran calls
};

/// Plays the load in virtual time on the nodes' own decisions.
fleet_report play_fleet(const fleet_options& options, std::vector<fleet_kind> kinds);

/// The kinds of requests of a booking site whose smallest service is called by three of them.
std::vector<fleet_kind> booking_site_kinds();
