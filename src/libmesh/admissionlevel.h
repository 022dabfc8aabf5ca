#pragma once

#include "bootclock.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Admission level of one target. A request with a position (rank plus a random part) below the level is
/// admitted at entry; the level falls while the target is busier than wanted and rises while it has room.
struct level_control {
    double level = 1;                ///< in [least_level, open]
    double max_level = 1;            ///< level at which everything is admitted
    double smoothed_utilization = 0; ///< utilization
    double integral = 1;             ///< the part of the level that follows lasting overload
};

/// Moves the level after `elapsed` with the given utilization (calls running and waiting over usable slots).
void update_level(level_control& it, double utilization, boot_duration elapsed);

/// How late the last timers of the event loop ran.
struct loop_delays {
    static constexpr std::size_t count = 4; ///< of ticks of 50 ms
    std::array<boot_duration, count> recent{};
    std::size_t next = 0;
};

/// Takes in the delay of a tick and returns the delay that stands: the least of the last ticks. One late
/// tick, as the system's scheduler or a suspension causes, is no sign of a busy node.
boot_duration min_recent_delay(loop_delays& delays, boot_duration delay);

/// Returns the utilization that a standing delay of the event loop means. A node whose processor is busy gets
/// behind long before its target's slots are taken.
double utilization_of_delay(boot_duration delay);

/// Level of a service as told along the answers.
struct observed_level {
    double level = 0;
    boot_time_point at{};
};

/// Service time in ms that one request causes at each service, its calls included.
using cost_map = std::map<std::string, double, std::less<>>;

/// What this node learnt of the services behind its routes.
struct admission_estimates {
    std::map<std::string, observed_level, std::less<>> levels; ///< by service
    std::map<std::string, cost_map, std::less<>> costs;        ///< by route
    double max_level = 1;
};

/// Takes in a level that a service's target had at that time.
void observe_level(admission_estimates& estimates, std::string_view service, observed_level seen);
/// Takes in the costs of one finished request.
void observe_costs(admission_estimates& estimates, std::string_view route, const cost_map& costs);

/// Result of the lookup behind an admission.
struct route_level {
    double level = 0;
    std::string service; ///< the tightest; empty if none is known
    boot_duration age{};
};

/// Returns the level that a request of a route must be below: the lowest among the services that it causes
/// work at. Without recent answers the level rises, so that refusing everything cannot last.
route_level level_for_route(const admission_estimates& estimates, std::string_view route,
                            boot_time_point now);

} // namespace baobabswitch
