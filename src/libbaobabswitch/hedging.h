#pragma once

#include "eventloop.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Recent latencies per kind at this node, and the budget of hedges.
struct hedge_table {
    struct recent_latencies {
        std::vector<double> ms; ///< the last ones, in a ring
        std::size_t next = 0;
    };
    std::map<std::string, recent_latencies, std::less<>> kinds;
    double credit = 0; ///< hedges that may be sent now
};

/// Takes over the latency of an answered attempt.
void record_latency(hedge_table& table, const std::string& kind, duration latency);

/// Returns the 95th percentile of a kind's latency; nothing while there are too few samples.
std::optional<duration> hedge_delay(const hedge_table& table, std::string_view kind);

/// Adds a call's share to the budget: `percent` of calls may be hedged.
void add_hedge_credit(hedge_table& table, unsigned percent);

/// Takes one hedge from the budget; returns false when it is spent.
bool take_hedge(hedge_table& table);

} // namespace baobabswitch
