#pragma once

#include "deployment.h"
#include "loadgenerator.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabswitch {

struct load_run_options {
    double demand = 0.4; ///< multiple of capacity
    double seconds = 3;
    client_retry_policy retry_policy{8, milliseconds{100}};
    std::vector<endpoint> entries; ///< nodes that clients call; all nodes if empty
    std::function<void()> action;  ///< runs on its own thread after the first second
};

/// Results of a load run, from its clients, targets and nodes.
struct load_run_result {
    std::vector<request_sample> samples;
    execution_summary executions;
    std::size_t not_run_but_executed = 0; ///< calls reported as not run that a target executed
    std::uint64_t violated = 0;           ///< invariant violations at all nodes

    std::size_t count(const std::string& outcome) const;
    /// Returns the number of attempts with a broken connection or truncated answer.
    std::size_t interrupted_attempts() const;
    bool all_answers_complete() const;
    /// Returns the share of done requests among those of a kind (all kinds if "") with a planned time in
    /// [from, to), in seconds.
    double done_share(const std::string& kind = "", double from = 0, double to = 1e9) const;
};

/// Starts the workload "small" with real processes. Fails the test if that isn't possible.
std::unique_ptr<deployment> start_small_deployment(bool proxied = false,
                                                   const std::string& policy = "baobabswitch");
load_run_result run_load(deployment& deployed, const load_run_options& options);

} // namespace baobabswitch
