#pragma once

#include "eventloop.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Recent latencies per kind at this node, and the hedging budget.
struct hedge_table {
    struct recent_latencies {
        std::vector<double> ms; ///< ring buffer of the most recent samples
        std::size_t next = 0;
    };
    std::map<std::string, recent_latencies, std::less<>> kinds;
    double credit = 0; ///< number of hedges that may be sent now
};

/// Records the latency of an attempt that got a response.
void record_latency(hedge_table& table, const std::string& kind, duration latency);

/// Returns the 95th percentile latency of a kind, or nothing while there are too few samples.
std::optional<duration> hedge_delay(const hedge_table& table, std::string_view kind);

/// Adds the credit for one call to the budget, so that `percent` of calls may be hedged.
void add_hedge_credit(hedge_table& table, unsigned percent);

/// Consumes one hedge from the budget; returns false if it is exhausted.
bool take_hedge(hedge_table& table);

} // namespace baobabswitch
