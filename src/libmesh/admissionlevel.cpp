#include "admissionlevel.h"

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

/// Utilization that the controller regulates to: all usable slots are taken. With tens of slots, the calls
/// that then queue wait a small part of their service time.
constexpr double utilization_setpoint = 1.0;
/// Gains per unit of utilization error: of the proportional term, and of the integral term per second. The
/// proportional term recovers as soon as the queue is empty, so the level does not stay low while calls that
/// were admitted earlier still finish.
constexpr double proportional_gain = 1.0;
constexpr double integral_fall_gain = 1.0;
constexpr double integral_rise_gain = 1.5;
/// Event loop delay that the controller regulates to. Each hop is delayed by about this much, so it must stay
/// well below the maximum queue wait of the shortest latency objectives, which is an eighth of them (37 ms).
/// On an idle node a tick is less than 1 ms late.
constexpr double delay_setpoint_ms = 8;
/// Upper bound of the utilization derived from a delay, so that the level recovers quickly.
constexpr double max_delay_utilization = 2;
/// Above zero, so that some requests are always admitted and their responses report the current level.
constexpr double min_level = 0.1;
/// Time over which the reports of a service's level are averaged, and the smallest weight of a report. A node
/// that exchanges many calls averages over many reports; one with few takes each nearly as it is, since it is
/// late enough without an average.
constexpr double level_averaging_ms = 50;
constexpr double min_report_weight = 0.05;
/// Weight of one request in the costs of a route.
constexpr double cost_weight = 0.05;
/// A service at which a request of the route causes less service time than this does not limit the admission
/// to the route.
constexpr double min_cost_ms = 0.5;
/// Age at which a level that no response confirmed starts to rise, and how fast it rises.
constexpr double stale_after_ms = 400;
constexpr double stale_rise_per_second = 1.0;

} // namespace

void update_level(level_control& it, double utilization, boot_duration elapsed) {
    const double ms = std::min(to_ms(elapsed), 200.0);
    it.utilization = utilization;
    const double error = utilization_setpoint - utilization;
    const double gain = error < 0 ? integral_fall_gain : integral_rise_gain;
    it.integral = std::clamp(it.integral + gain * error * ms / 1000, min_level, it.max_level);
    it.level = std::clamp(it.integral + proportional_gain * error, min_level, it.max_level);
}

boot_duration min_recent_delay(loop_delays& delays, boot_duration delay) {
    delays.recent.at(delays.next) = delay;
    delays.next = (delays.next + 1) % loop_delays::count;
    return *std::min_element(delays.recent.begin(), delays.recent.end());
}

double utilization_of_delay(boot_duration delay) {
    return std::clamp(utilization_setpoint * to_ms(delay) / delay_setpoint_ms, 0.0, max_delay_utilization);
}

void observe_level(admission_estimates& estimates, std::string_view service, observed_level seen) {
    const auto [it, inserted] = estimates.levels.try_emplace(std::string{service}, seen);
    if (inserted || seen.at <= it->second.at - std::chrono::milliseconds{200}) {
        return;
    }
    const double newer_ms = std::max(0.0, to_ms(seen.at - it->second.at));
    const double weight = std::max(min_report_weight, 1 - std::exp(-newer_ms / level_averaging_ms));
    it->second.level += weight * (seen.level - it->second.level);
    it->second.at = std::max(it->second.at, seen.at);
}

void observe_costs(admission_estimates& estimates, std::string_view route, const cost_map& costs) {
    auto& known = estimates.costs[std::string{route}];
    for (auto& [service, ms] : known) {
        const auto found = costs.find(service);
        ms += cost_weight * ((found == costs.end() ? 0 : found->second) - ms);
    }
    for (const auto& [service, ms] : costs) {
        known.try_emplace(service, ms);
    }
}

route_level level_for_route(const admission_estimates& estimates, std::string_view route,
                            boot_time_point now) {
    route_level lowest{estimates.max_level, {}, {}};
    const auto costs = estimates.costs.find(route);
    if (costs == estimates.costs.end()) {
        return lowest;
    }
    for (const auto& [service, ms] : costs->second) {
        const auto found = estimates.levels.find(service);
        if (ms < min_cost_ms || found == estimates.levels.end()) {
            continue;
        }
        const auto age = now - found->second.at;
        const double rise = std::max(0.0, to_ms(age) - stale_after_ms) / 1000 * stale_rise_per_second;
        const double level = std::min(estimates.max_level, found->second.level + rise);
        if (level < lowest.level) {
            lowest = {level, service, age};
        }
    }
    return lowest;
}

} // namespace baobabswitch
