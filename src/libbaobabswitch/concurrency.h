#pragma once

#include "eventloop.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Adaptive concurrency limit of the local target, from the node's own measurements of service times.
///
/// The limit falls while a full target answers more slowly than twice its learnt base, and rises by one per
/// round of full use. A slowdown that a lower limit doesn't cure has another cause, such as a neighbour on
/// the same host; giving up slots would then only lose work, so the limit returns and the slower times become
/// the base for the time being.
struct concurrency_limit {
    std::size_t configured = 1; ///< greatest limit
    double limit = 1;
    std::map<std::string, double, std::less<>> base_ms; ///< learnt least service time, by kind
    double slowdown = 1;                                ///< accepted factor on the bases
    double ratio_sum = 0;                               ///< of service time to base in this round
    std::size_t samples = 0;
    bool full = false;                ///< all slots were in use at some time in this round
    double limit_before_decrease = 0; ///< limit when it began to fall; 0 while it doesn't fall
    double ratio_before_decrease = 0; ///< ratio at that time
};

/// Sets the configured number of slots. The first call starts the limit there.
void configure_concurrency(concurrency_limit& state, std::size_t slots);

/// Records a completed call. `own` is its time at the target without the time of its child calls.
void record_service(concurrency_limit& state, const std::string& kind, duration own, bool full);

/// Returns the limit in force.
std::size_t current_concurrency(const concurrency_limit& state);

/// Ends a round and returns the limit now in force, from 1 to the configured slots.
std::size_t update_concurrency(concurrency_limit& state);

} // namespace baobabswitch
