#include "retrybudget.h"

#include <algorithm>
#include <numeric>

namespace baobabswitch {

namespace {

/// Fractions of the limit that are used. Less than 1, since the windows of different nodes are not aligned,
/// and since retrying a request also retries its nested calls, whose first attempts the budget never refuses.
constexpr double usable_ratio_fraction = 0.6;
constexpr double usable_slack_fraction = 0.4;

retry_window& window_of(retry_budget& budget, std::string_view service, boot_time_point now) {
    auto& it = budget.by_service[std::string{service}];
    const auto width = budget.bounds.window / static_cast<std::int64_t>(retry_window::buckets);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto behind = std::min<std::int64_t>(current - it.newest, retry_window::buckets);
    for (std::int64_t n = 0; n < behind; ++n) {
        const auto slot = static_cast<std::size_t>(current - n) % retry_window::buckets;
        it.first_calls[slot] = 0;
        it.retries[slot] = 0;
    }
    it.newest = std::max(it.newest, current);
    return it;
}

} // namespace

void count_first_call(retry_budget& budget, std::string_view service, boot_time_point now) {
    auto& it = window_of(budget, service, now);
    it.first_calls[static_cast<std::size_t>(it.newest) % retry_window::buckets] += 1;
}

void count_retry(retry_budget& budget, std::string_view service, boot_time_point now) {
    auto& it = window_of(budget, service, now);
    it.retries[static_cast<std::size_t>(it.newest) % retry_window::buckets] += 1;
}

bool may_retry(retry_budget& budget, std::string_view service, boot_time_point now) {
    const auto& it = window_of(budget, service, now);
    const double first_calls = std::accumulate(it.first_calls.begin(), it.first_calls.end(), 0.0);
    const double retries = std::accumulate(it.retries.begin(), it.retries.end(), 0.0);
    const double allowed = usable_ratio_fraction * budget.bounds.ratio * first_calls +
                           usable_slack_fraction * budget.bounds.slack / std::max(1.0, budget.nodes);
    return retries + 1 <= allowed;
}

} // namespace baobabswitch
