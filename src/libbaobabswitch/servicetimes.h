#pragma once

#include "eventloop.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Time for which a call of a kind occupies a slot, including its child calls.
struct service_time {
    double mean_ms = 0; ///< exponential moving average
    std::uint64_t samples = 0;
};

/// Observed service times at the local target, by kind.
struct service_time_table {
    std::map<std::string, service_time, std::less<>> kinds;
};

/// Records the service time of a completed call. Cancelled and failed calls must not be recorded, because
/// they end early.
void record_service_time(service_time_table& table, const std::string& kind, duration held);

/// Records the elapsed time of a running call as a lower bound while no call of its kind has completed.
/// Without this, a long-running kind would be classified as short until its first completion.
void record_elapsed_time(service_time_table& table, const std::string& kind, duration elapsed);

/// Returns the expected service time in milliseconds, or 0 if there is no data for the kind.
double expected_service_ms(const service_time_table& table, std::string_view kind);

/// Returns whether the service time of a kind exceeds four times the median of the target's kinds.
bool is_long_kind(const service_time_table& table, std::string_view kind);

} // namespace baobabswitch
