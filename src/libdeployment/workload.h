#pragma once

#include "errors.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// One kind of request of a workload, with how its target behaves.
struct workload_kind {
    std::string service;
    int importance = 0;
    int timeout_ms = 1000;
    int patience_ms = 0;
    bool idempotent = true;
    double service_ms = 10; ///< time that the target spends itself
    double share = 0;       ///< of the requests from clients, in percent; 0: only a child of other kinds
    std::vector<std::string> children; ///< kinds called one after the other before the answer
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
    std::string slow_service;     ///< deep service that the scenario slow-ledger slows down; may be empty
    std::map<std::string, workload_service> services;
    std::map<std::string, workload_kind> kinds;
};

/// Reads a workload file. Fails with not_found or bad_document.
result<workload> load_workload(const std::string& file_name);

/// Divides the slots and connections of each server by `factor`, so that a deployment fits one machine.
void scale_down(workload& load, double factor);

/// Returns the time for which one call of a kind holds its slot, including its children, in milliseconds.
double slot_time_ms(const workload& load, std::string_view kind);

/// Returns the greatest rate of requests, in the workload's mix, at which no service lacks slots, per second.
double capacity_per_second(const workload& load);

/// Builds the configuration document of a workload.
std::string make_document(const workload& load, std::string_view policy_mode);

} // namespace baobabswitch
