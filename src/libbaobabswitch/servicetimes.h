#pragma once

#include "eventloop.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Time for which a call of one kind holds its slot, children included.
struct service_time {
    double mean_ms = 0; ///< smoothed
    std::uint64_t samples = 0;
};

/// Learnt service times at the target beside this node, by kind.
struct service_time_table {
    std::map<std::string, service_time, std::less<>> kinds;
};

/// Takes over the time of a completed call. Cancelled and failed calls are not to be learnt: they end early.
void learn_service_time(service_time_table& table, const std::string& kind, duration held);

/// Takes over how long a call has been running, while no call of its kind has completed. Without it, a long
/// kind would count as short until its first completion.
void observe_running(service_time_table& table, const std::string& kind, duration elapsed);

/// Returns the expected service time in milliseconds; 0 while the kind is unknown.
double expected_service_ms(const service_time_table& table, std::string_view kind);

/// Tells whether a kind's service time is above four times the median of the target's kinds.
bool is_long_kind(const service_time_table& table, std::string_view kind);

} // namespace baobabswitch
