#include "retrybudget.h"

#include <algorithm>
#include <numeric>

namespace baobabswitch {

namespace {

/// Part of the bound that is used: windows of different nodes do not start together, and repeats of a request
/// cause repeats of its calls, which cannot be refused.
constexpr double used_ratio = 0.6;
constexpr double used_slack = 0.4;

retry_window& window_of(retry_budget& budget, std::string_view service, boot_time_point now) {
    auto& it = budget.by_service[std::string{service}];
    const auto width = budget.bounds.window / static_cast<std::int64_t>(retry_window::buckets);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto behind = std::min<std::int64_t>(current - it.newest, retry_window::buckets);
    for (std::int64_t n = 0; n < behind; ++n) {
        const auto slot = static_cast<std::size_t>(current - n) % retry_window::buckets;
        it.first[slot] = 0;
        it.repeated[slot] = 0;
    }
    it.newest = std::max(it.newest, current);
    return it;
}

} // namespace

void count_first(retry_budget& budget, std::string_view service, boot_time_point now) {
    auto& it = window_of(budget, service, now);
    it.first[static_cast<std::size_t>(it.newest) % retry_window::buckets] += 1;
}

void count_repeat(retry_budget& budget, std::string_view service, boot_time_point now) {
    auto& it = window_of(budget, service, now);
    it.repeated[static_cast<std::size_t>(it.newest) % retry_window::buckets] += 1;
}

bool may_repeat(retry_budget& budget, std::string_view service, boot_time_point now) {
    const auto& it = window_of(budget, service, now);
    const double first = std::accumulate(it.first.begin(), it.first.end(), 0.0);
    const double repeated = std::accumulate(it.repeated.begin(), it.repeated.end(), 0.0);
    const double allowed = used_ratio * budget.bounds.ratio * first +
                           used_slack * budget.bounds.slack / std::max(1.0, budget.nodes);
    return repeated + 1 <= allowed;
}

} // namespace baobabswitch
