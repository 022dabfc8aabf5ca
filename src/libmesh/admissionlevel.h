#pragma once

#include "bootclock.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Proportional-integral controller of the admission level of one target. A request whose priority (rank plus
/// a random part) is below the level is admitted at entry. The level falls while the utilization is above the
/// setpoint and rises while it is below.
struct level_control {
    double level = 1;       ///< in [min_level, max_level]
    double max_level = 1;   ///< at this level every request is admitted
    double utilization = 0; ///< of the last update
    double integral = 1;    ///< integral term, follows sustained overload
};

/// Updates the level with the utilization (running and waiting calls per usable slot) over the last
/// `elapsed`.
void update_level(level_control& it, double utilization, boot_duration elapsed);

/// Delays of the most recent event loop ticks past their due time.
struct loop_delays {
    static constexpr std::size_t count = 4; ///< ticks that are kept, one every 50 ms
    std::array<boot_duration, count> recent{};
    std::size_t next = 0;
};

/// Records the delay of a tick and returns the minimum of the last ticks. A single late tick, caused by the
/// operating system's scheduler or by a suspension, does not mean that the node is busy.
boot_duration min_recent_delay(loop_delays& delays, boot_duration delay);

/// Converts a sustained event loop delay into a utilization. When the processor is saturated, the event loop
/// falls behind long before the target's slots are used up.
double utilization_of_delay(boot_duration delay);

/// Admission level that a service reported with its responses.
struct observed_level {
    double level = 0;
    boot_time_point at{};
};

/// Service time in ms that one request causes at each service, including its nested calls.
using cost_map = std::map<std::string, double, std::less<>>;

/// Estimated admission levels of the services and costs of the routes.
struct admission_estimates {
    std::map<std::string, observed_level, std::less<>> levels; ///< by service
    std::map<std::string, cost_map, std::less<>> costs;        ///< by route
    double max_level = 1;
};

/// Records an admission level that one of a service's targets reported. Ignores a level that is at least 200
/// ms older than the newest one.
void observe_level(admission_estimates& estimates, std::string_view service, observed_level seen);
/// Records the costs of one completed request.
void observe_costs(admission_estimates& estimates, std::string_view route, const cost_map& costs);

/// Lowest admission level on a route, as estimated by this node.
struct route_level {
    double level = 0;
    std::string service; ///< service with the lowest level; empty if none is known
    boot_duration age{}; ///< time since the level was reported
};

/// Returns the lowest admission level among the services that requests of a route use. A level that is not
/// confirmed by recent responses rises, so that a service is not refused all requests indefinitely.
route_level level_for_route(const admission_estimates& estimates, std::string_view route,
                            boot_time_point now);

} // namespace baobabswitch
