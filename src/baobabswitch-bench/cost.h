#pragma once

#include "deployment.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

struct cost_options {
    std::size_t connections = 1250; ///< idle connections open to the node
    double calls_per_second = 300;  ///< rate through the node, and the same rate directly to the target
    double seconds = 20;
    double idle_seconds = 10;
    std::uint64_t seed = 1;
};

/// Measures the latency that a node adds to a call, compared with direct calls to its target in the same run,
/// and the node's resource usage under that load and when idle. The deployment has one VM. Fails with
/// internal if the connections can't be opened.
result<nlohmann::json> measure_cost(deployment& deployed, const cost_options& options);

/// Measures the resource usage of each node of an idle deployment and the rate of platform calls.
nlohmann::json measure_idle(deployment& deployed, double settle_seconds, double seconds);

} // namespace baobabswitch
