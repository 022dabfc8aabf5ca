#pragma once

#include "deployment.h"

#include <cstdint>
#include <map>
#include <string>

namespace baobabswitch {

/// Snapshot of a node's metrics and resource usage.
struct node_reading {
    bool reachable = false; ///< /metrics was read
    double cpu_seconds = 0; ///< user and system time of the process
    double resident_mb = 0;
    double control_bytes = 0;
    std::map<std::string, std::uint64_t> checked;  ///< number of checks by invariant
    std::map<std::string, std::uint64_t> violated; ///< number of violations by invariant
};

/// Reads a node's /metrics and the entries of its process in /proc.
node_reading read_node(const deployed_vm& vm);

/// A sample of the Prometheus text format: name{label="value"} number is read as {name, value, number}.
struct metric_sample {
    std::string name;
    std::string label; ///< value of the first label
    double value = 0;
};
/// Parses all samples of a text in the Prometheus text format.
std::vector<metric_sample> parse_metrics(const std::string& text);

} // namespace baobabswitch
