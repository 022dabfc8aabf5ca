#pragma once

#include "eventloop.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Adaptive concurrency limit of the local target, derived from service times measured by this node.
///
/// The limit decreases while a saturated target takes more than twice its baseline service time, and
/// increases by one per saturated measurement round. If a lower limit doesn't reduce the service time, the
/// slowdown has another cause, such as contention on the host. A lower limit would then only cost throughput,
/// so it is restored and the slower service time is accepted as the baseline for the time being.
struct concurrency_limit {
    std::size_t configured = 1; ///< upper bound of the limit
    double limit = 1;
    std::map<std::string, double, std::less<>> base_ms; ///< minimum observed service time, by kind
    double slowdown = 1;  ///< factor on the baselines that is accepted as normal
    double ratio_sum = 0; ///< sum of service time / baseline in this round
    std::size_t samples = 0;
    bool full = false;                ///< all slots were in use at some point in this round
    double limit_before_decrease = 0; ///< limit before the current series of decreases; 0 if there is none
    double ratio_before_decrease = 0; ///< mean ratio when the series started
};

/// Sets the configured number of slots. If it changed, the limit restarts from it.
void configure_concurrency(concurrency_limit& state, std::size_t slots);

/// Records a completed call. `own` is its service time excluding its child calls; `full` tells whether all
/// slots were in use.
void record_concurrency_sample(concurrency_limit& state, const std::string& kind, duration own, bool full);

/// Returns the current limit.
std::size_t current_concurrency(const concurrency_limit& state);

/// Ends a measurement round and returns the updated limit, between 1 and the configured slots.
std::size_t update_concurrency(concurrency_limit& state);

} // namespace baobabswitch
