#pragma once

#include "errors.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabswitch {

/// Options of a randomised fault injection run. Nodes are real child processes; the store, the targets and
/// the callers are simulated in the calling process.
struct soak_options {
    std::uint64_t seed = 1; ///< selects the faults; timing still varies between runs with the same seed
    double seconds = 40;    ///< duration; no faults are injected in the last 18 s
    unsigned vms = 6;       ///< half of them run the service "front", the others "back"
    std::string node_program;
    std::string folder; ///< receives settings files and logs
};

struct soak_report {
    std::uint64_t sent = 0; ///< requests of the callers and probes, without the calls made by targets
    /// Answers with a status from 200 to 299. The three counts of answers include calls made by targets, but
    /// no probes.
    std::uint64_t served = 0;
    std::uint64_t refused = 0;     ///< answers whose status guarantees that the request was not executed
    std::uint64_t failed = 0;      ///< all other answers
    std::uint64_t store_calls = 0; ///< requests received by the store
    std::map<std::string, unsigned> faults; ///< number of injected faults by kind
    std::vector<std::string> violations;    ///< violated guarantees
};

/// Runs a soak test and ends all child processes. Fails with bad_settings or internal if the setup fails.
result<soak_report> run_soak(const soak_options& options);

} // namespace baobabswitch
