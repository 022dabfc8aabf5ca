#include "admissionlevel.h"

#include <algorithm>

namespace baobabswitch {

namespace {

/// Utilization that the level settles at: high enough to waste little, low enough that calls seldom queue.
constexpr double wanted_utilization = 0.88;
/// Change of the level for each unit of utilization off the wanted one: at once, and a second. The immediate
/// part ends with the queue, so the level does not stay low while calls that were admitted before still
/// finish.
constexpr double immediate_gain = 1.0;
constexpr double fall_gain = 1.0;
constexpr double rise_gain = 1.5;
/// Delay of the event loop that the level settles at. Each hop waits about that long, so it stays well below
/// an eighth of the shortest latency objectives (37 ms); a tick of an idle node is late by less than 1 ms.
constexpr double wanted_delay_ms = 8;
/// Bound on the utilization of a delay, so that the level is back soon.
constexpr double most_delay_utilization = 2;
/// Time constant of the smoothed utilization.
constexpr double smoothing_ms = 100;
/// The level never closes entirely, so that answers keep telling it.
constexpr double least_level = 0.1;
/// Weight of one observation in the level of a service that has several targets.
constexpr double observation_weight = 0.2;
constexpr double cost_weight = 0.05;
/// Least cost, in ms, at which a service counts for a route's admission.
constexpr double least_cost_ms = 0.5;
/// Age from which an unconfirmed level rises, and its rise a second.
constexpr double stale_after_ms = 400;
constexpr double stale_rise = 1.0;

} // namespace

void update_level(level_control& it, double utilization, boot_duration elapsed) {
    const double ms = std::min(to_ms(elapsed), 200.0);
    it.smoothed += std::min(1.0, ms / smoothing_ms) * (utilization - it.smoothed);
    const double error = wanted_utilization - it.smoothed;
    const double gain = error < 0 ? fall_gain : rise_gain;
    it.sustained = std::clamp(it.sustained + gain * error * ms / 1000, least_level, it.open);
    it.level = std::clamp(it.sustained + immediate_gain * error, least_level, it.open);
}

boot_duration standing_delay(loop_delays& delays, boot_duration delay) {
    delays.recent.at(delays.next) = delay;
    delays.next = (delays.next + 1) % loop_delays::count;
    return *std::min_element(delays.recent.begin(), delays.recent.end());
}

double utilization_of_delay(boot_duration delay) {
    return std::clamp(wanted_utilization * to_ms(delay) / wanted_delay_ms, 0.0, most_delay_utilization);
}

void observe_level(admission_knowledge& knowledge, std::string_view service, observed_level seen) {
    const auto [it, inserted] = knowledge.levels.try_emplace(std::string{service}, seen);
    if (inserted || seen.at <= it->second.at - std::chrono::milliseconds{200}) {
        return;
    }
    it->second.level += observation_weight * (seen.level - it->second.level);
    it->second.at = std::max(it->second.at, seen.at);
}

void observe_costs(admission_knowledge& knowledge, std::string_view route, const cost_map& costs) {
    auto& known = knowledge.costs[std::string{route}];
    for (auto& [service, ms] : known) {
        const auto found = costs.find(service);
        ms += cost_weight * ((found == costs.end() ? 0 : found->second) - ms);
    }
    for (const auto& [service, ms] : costs) {
        known.try_emplace(service, ms);
    }
}

entry_level level_for_route(const admission_knowledge& knowledge, std::string_view route,
                            boot_time_point now) {
    entry_level lowest{knowledge.open, {}, {}};
    const auto costs = knowledge.costs.find(route);
    if (costs == knowledge.costs.end()) {
        return lowest;
    }
    for (const auto& [service, ms] : costs->second) {
        const auto found = knowledge.levels.find(service);
        if (ms < least_cost_ms || found == knowledge.levels.end()) {
            continue;
        }
        const auto age = now - found->second.at;
        const double rise = std::max(0.0, to_ms(age) - stale_after_ms) / 1000 * stale_rise;
        const double level = std::min(knowledge.open, found->second.level + rise);
        if (level < lowest.level) {
            lowest = {level, service, age};
        }
    }
    return lowest;
}

} // namespace baobabswitch
