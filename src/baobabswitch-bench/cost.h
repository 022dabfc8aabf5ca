#pragma once

#include "deployment.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

struct cost_options {
    std::size_t connections = 1250; ///< open to the node
    double calls_per_second = 300;  ///< through the node, and as many directly to the target
    double seconds = 20;
    double idle_seconds = 10;
    std::uint64_t seed = 1;
};

/// Measures what one node adds to a call against a direct call to its target in the same run, and what the
/// node costs under that load and at rest. The deployment has one VM. Fails with internal if the connections
/// can't be opened.
result<nlohmann::json> measure_cost(deployment& deployed, const cost_options& options);

/// Measures what each node of a deployment costs at rest and how often the platform is called.
nlohmann::json measure_idle(deployment& deployed, double settle_seconds, double seconds);

} // namespace baobabswitch
