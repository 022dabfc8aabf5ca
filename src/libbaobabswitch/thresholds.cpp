#include "thresholds.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace baobabswitch {

namespace {

constexpr double smoothing_ms = 500;   ///< time constant of the demand average
constexpr double probe_share = 0.02;   ///< minimum share of calls that are sent, as probes
constexpr double max_load = 1.1;       ///< admitted demand per slot with an empty queue
constexpr double min_load = 0.8;       ///< admitted demand per slot with a long queue
constexpr double backlog_weight = 0.1; ///< reduction of the load per waiting call and slot
constexpr milliseconds report_lifetime{500};
constexpr milliseconds report_decay{1000}; ///< time from the end of its lifetime until a report counts as 0
constexpr std::size_t max_levels = 64;     ///< maximum number of kinds parsed from one response

void smooth(double& value, double sample, double weight) {
    value += weight * (sample - value);
}

double report_weight(duration age) {
    if (age <= report_lifetime) {
        return 1;
    }
    const double over = std::chrono::duration<double>(age - report_lifetime) / report_decay;
    return std::max(0.0, 1 - over);
}

} // namespace

void count_demand(demand_meter& meter, importance_level importance, double expected_ms, double weight,
                  bool is_long) {
    meter.arrived_ms.at(importance) += expected_ms * weight;
    if (!is_long) {
        meter.short_arrived_ms += expected_ms;
    }
}

void update_level(demand_meter& meter, double slots, double backlog, time_point now) {
    const double passed = std::chrono::duration<double, std::milli>(now - meter.updated).count();
    meter.updated = now;
    const double weight = 1 - std::exp(-passed / smoothing_ms);
    for (std::size_t n = 0; n < meter.slots.size(); ++n) {
        smooth(meter.slots.at(n), meter.arrived_ms.at(n) / passed, weight);
        meter.arrived_ms.at(n) = 0;
    }
    smooth(meter.short_slots, meter.short_arrived_ms / passed, weight);
    meter.short_arrived_ms = 0;
    slots = std::max(slots, 1.0);
    const double load = std::clamp(max_load - backlog_weight * backlog / slots, min_load, max_load);
    double remaining_slots = slots * load;
    for (int n = max_importance; n >= 0; --n) {
        const double required = meter.slots.at(static_cast<std::size_t>(n));
        if (required > remaining_slots) {
            meter.level = n + 1 - remaining_slots / required;
            return;
        }
        remaining_slots -= required;
    }
    meter.level = 0;
}

void store_thresholds(threshold_table& table, const std::string& service, const std::string& node,
                      threshold_list levels, time_point now) {
    table.reports[service][node] = {std::move(levels), now};
}

double threshold_level(const threshold_table& table, std::string_view service, std::string_view kind,
                       time_point now) {
    const auto found = table.reports.find(service);
    if (found == table.reports.end()) {
        return 0;
    }
    double sum = 0;
    double weights = 0;
    double newest_weight = 0;
    for (const auto& [node, it] : found->second) {
        const double weight = report_weight(now - it.at);
        newest_weight = std::max(newest_weight, weight);
        weights += weight;
        for (const auto& level : it.levels) {
            sum += level.kind == kind ? level.level * weight : 0;
        }
    }
    return weights == 0 ? 0 : sum / weights * newest_weight;
}

void store_child_level(downstream_levels& downstream, const std::string& parent_kind,
                       const std::string& child_kind, double level, time_point now) {
    downstream.children[parent_kind][child_kind] = {level, now};
}

threshold_list report_thresholds(const downstream_levels& downstream, double own_level,
                                 std::span<const std::string> kinds, time_point now) {
    threshold_list levels;
    for (const auto& kind : kinds) {
        double level = own_level;
        if (const auto found = downstream.children.find(kind); found != downstream.children.end()) {
            for (const auto& [child, it] : found->second) {
                level = std::max(level, it.level * report_weight(now - it.at));
            }
        }
        if (level > 0) {
            levels.push_back({kind, level});
        }
    }
    return levels;
}

double admitted_share(double level, importance_level importance, unsigned depth) {
    const double above = importance + 1 - level;
    if (above >= 1 || (depth > 0 && above > 0)) {
        return 1;
    }
    return std::max(above, probe_share);
}

std::string format_thresholds(const threshold_list& levels) {
    std::string text;
    for (const auto& it : levels) {
        constexpr int precision = 3;
        std::array<char, 16> buf{};
        const auto end =
            std::to_chars(buf.data(), buf.data() + buf.size(), it.level, std::chars_format::fixed, precision);
        text += (text.empty() ? "" : ",") + it.kind + "=" + std::string{buf.data(), end.ptr};
    }
    return text;
}

threshold_list parse_thresholds(std::string_view text) {
    threshold_list levels;
    while (!text.empty() && levels.size() < max_levels) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto split = part.find('=');
        if (split == std::string_view::npos) {
            continue;
        }
        const auto number = part.substr(split + 1);
        double level = 0;
        const auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), level);
        if (ec == std::errc{} && end == number.data() + number.size() && level >= 0 &&
            level <= max_importance + 1) {
            levels.push_back({std::string{part.substr(0, split)}, level});
        }
    }
    return levels;
}

} // namespace baobabswitch
