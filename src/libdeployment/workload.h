#pragma once

#include "errors.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// One kind of request of a workload, with the behavior of its target.
struct workload_kind {
    std::string service;
    int importance = 0;
    int timeout_ms = 1000;
    int patience_ms = 0;
    bool idempotent = true;
    double service_ms = 10; ///< service time of the target without child calls
    double share = 0; ///< share of the client requests, in percent; 0: called only as a child of other kinds
    std::vector<std::string> children; ///< kinds called sequentially before the answer
};

struct workload_service {
    int servers = 1;
    int slots = 1;
    int connections = 16;
};

/// A workload file from workloads/.
struct workload {
    std::string name;
    std::vector<std::string> domains;
    double domain_latency_ms = 0; ///< one way
    double client_latency_ms = 0; ///< one way
    std::string slow_service;     ///< service deep in the call graph, slowed in slow-ledger; or empty
    std::map<std::string, workload_service> services;
    std::map<std::string, workload_kind> kinds;
};

/// Reads a workload file. Fails with not_found or bad_document.
result<workload> load_workload(const std::string& file_name);

/// Divides the slots and connections of each server by `factor`, so that a deployment fits one machine.
void scale_down(workload& load, double factor);

/// Returns the time for which one call of a kind occupies its slot, including child calls, in milliseconds.
double slot_time_ms(const workload& load, std::string_view kind);

/// Returns the maximum request rate per second, in the workload's mix, at which no service runs out of slots.
double capacity_per_second(const workload& load);

/// Builds the configuration document of a workload.
std::string make_document(const workload& load, std::string_view policy_mode);

} // namespace baobabswitch
