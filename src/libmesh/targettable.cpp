#include "targettable.h"

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

using std::chrono::milliseconds;

/// Load difference, as a fraction of capacity, at which a target in another failure domain is preferred.
/// Keeps traffic between domains low while the local domain has capacity.
constexpr double domain_penalty = 0.35;
/// Random part of a score, so that nodes with the same view do not all choose the same target.
constexpr double score_jitter = 0.1;
/// Age at which a load report is no longer used. Its weight falls with its age: without calls no newer report
/// arrives, and the actual load falls.
constexpr milliseconds report_lifetime{1500};
/// Bounds of the time for which a target is avoided after a failure.
constexpr milliseconds min_avoidance_time{100};
constexpr milliseconds max_avoidance_time{1600};
/// Load added to each score, so that an idle slow target scores worse than an idle fast one.
constexpr double base_load = 0.15;

/// Load, as a multiple of capacity, added to the score of a target with a failure rate of 1. At a rate of
/// 0.4, another target is preferred until its load is higher by 40% of its capacity.
constexpr double failure_penalty = 1.0;
/// Weight of one call in the failure rate, and the half-life of the rate without calls.
constexpr double failure_weight = 0.1;
constexpr std::chrono::seconds failure_half_life{2};

bool is_excluded(std::span<const std::string> excluded, std::string_view node) {
    return std::find(excluded.begin(), excluded.end(), node) != excluded.end();
}

} // namespace

bool is_instance_id(std::string_view text) {
    constexpr std::size_t max_length = 256;
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it <= '~'; });
}

bool update_target(target_table& table, const target_entry& it) {
    const auto found = table.by_node.find(it.node);
    if (found == table.by_node.end()) {
        table.by_node[it.node].entry = it;
        return true;
    }
    auto& known = found->second;
    const bool comparable = is_known(it.revision) && is_known(known.entry.revision);
    const bool older =
        comparable ? it.revision < known.entry.revision : it.started_ms < known.entry.started_ms;
    if (older || known.entry == it) {
        return false;
    }
    const bool same_target = known.entry.instance == it.instance && known.entry.peer == it.peer;
    if (!same_target) {
        const auto in_flight = known.in_flight;
        const auto presence = known.entry.peer == it.peer ? known.presence : node_presence{};
        known = {};
        known.presence = presence;
        known.in_flight = in_flight;
        known.in_flight_at_report = in_flight;
    }
    known.entry = it;
    return true;
}

std::size_t present_nodes(const target_table& table, boot_time_point now) {
    return static_cast<std::size_t>(
        std::count_if(table.by_node.begin(), table.by_node.end(),
                      [&](const auto& it) { return !is_gone(it.second.presence, now); }));
}

std::size_t count_lost_nodes(const target_table& table) {
    return static_cast<std::size_t>(
        std::count_if(table.by_node.begin(), table.by_node.end(),
                      [](const auto& it) { return is_lost(it.second.presence); }));
}

void remove_target(target_table& table, std::string_view node) {
    const auto found = table.by_node.find(node);
    if (found != table.by_node.end()) {
        table.by_node.erase(found);
    }
}

double expected_load(const target_view& it, boot_time_point now) {
    const double capacity = std::max(1.0, it.report.capacity > 0 ? it.report.capacity : it.entry.slots);
    const double age = to_ms(now - it.reported_at) / to_ms(report_lifetime);
    const double fresh = it.report.capacity > 0 ? std::clamp(1.0 - age, 0.0, 1.0) : 0.0;
    const double reported = (it.report.running + it.report.waiting) * fresh;
    const double load_since_report =
        static_cast<double>(it.in_flight) - static_cast<double>(it.in_flight_at_report) * fresh;
    return std::max({reported + load_since_report, static_cast<double>(it.in_flight), 0.0}) / capacity;
}

target_view* choose_target(target_table& table, const choice_inputs& inputs) {
    target_view* best = nullptr;
    double best_score = 0;
    bool best_avoided = false;
    std::uint32_t n = 0;
    for (auto& [node, it] : table.by_node) {
        if (it.entry.service != inputs.service || !it.entry.accepting || is_excluded(inputs.excluded, node)) {
            continue;
        }
        const bool avoided = it.avoid_until > inputs.now || is_lost(it.presence);
        const double load = expected_load(it, inputs.now);
        // Spreads the jitter over the candidates without a random number for each.
        const double shift = static_cast<double>((++n * 2654435761U) >> 8U) / static_cast<double>(1U << 24U);
        const double jitter = inputs.jitter + shift < 1 ? inputs.jitter + shift : inputs.jitter + shift - 1;
        double score = (base_load + load) * std::max(0.3, it.report.slowness) + score_jitter * jitter;
        score += failure_penalty * failure_rate(it, inputs.now);
        if (it.entry.domain != inputs.own_domain) {
            score += domain_penalty;
        }
        if (best == nullptr || (best_avoided && !avoided) ||
            (best_avoided == avoided && score < best_score)) {
            best = &it;
            best_score = score;
            best_avoided = avoided;
        }
    }
    return best;
}

void record_report(target_view& it, const load_report& report, boot_time_point now) {
    it.report = report;
    it.reported_at = now;
    it.in_flight_at_report = it.in_flight;
}

void record_unavailable(target_view& it, boot_time_point now) {
    const auto doubled = min_avoidance_time * (1U << std::min(it.consecutive_failures, 4U));
    it.avoid_until = now + std::min<milliseconds>(doubled, max_avoidance_time);
    ++it.consecutive_failures;
}

void record_available(target_view& it) {
    it.consecutive_failures = 0;
    it.avoid_until = {};
}

void record_outcome(target_view& it, bool answered, boot_time_point now) {
    const double rate = failure_rate(it, now);
    it.failure_rate = rate + failure_weight * ((answered ? 0.0 : 1.0) - rate);
    it.failure_rate_at = now;
}

double failure_rate(const target_view& it, boot_time_point now) {
    return it.failure_rate * std::exp2(-to_ms(now - it.failure_rate_at) / to_ms(failure_half_life));
}

} // namespace baobabswitch
