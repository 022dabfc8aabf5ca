#pragma once

#include "errors.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabswitch {

/// A randomised run: real nodes as separate processes, stand-ins for store, targets and callers in this one.
struct soak_options {
    std::uint64_t seed = 1; ///< draws the faults; timing still varies from run to run
    double seconds = 40;    ///< the last 18 s are without faults
    unsigned vms = 6;       ///< half run the service "front", half "back"
    std::string node_program;
    std::string folder; ///< for settings files and logs
};

struct soak_report {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t store_calls = 0;
    std::map<std::string, unsigned> faults; ///< injected, by kind
    std::vector<std::string> violations;    ///< promises found broken
};

/// Runs a soak. Leaves no process behind. Fails with bad_settings or internal when it can't be set up.
result<soak_report> run_soak(const soak_options& options);

} // namespace baobabswitch
