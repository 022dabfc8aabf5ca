#pragma once

#include "bootclock.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabswitch {

/// Limit on retries over all nodes together.
struct retry_bounds {
    double ratio = 0.2; ///< retries per first call to a service
    double slack = 0;   ///< additional retries per window, over all nodes together
    boot_duration window = std::chrono::seconds{10};
};

/// First calls and retries of this node to one service in the sliding window.
struct retry_window {
    static constexpr std::size_t buckets = 10;
    std::array<double, buckets> first_calls{};
    std::array<double, buckets> retries{};
    std::int64_t newest = 0; ///< index of the newest bucket, counted from the clock's epoch
};

/// This node's share of the retry budget of all nodes. As long as each node stays within its share, the total
/// stays within the limit without coordination.
struct retry_budget {
    retry_bounds bounds;
    double nodes = 1; ///< nodes that share the slack
    std::unordered_map<std::string, retry_window> by_service;
};

void count_first_call(retry_budget& budget, std::string_view service, boot_time_point now);
void count_retry(retry_budget& budget, std::string_view service, boot_time_point now);
/// Returns whether one more retry stays within this node's share.
bool may_retry(retry_budget& budget, std::string_view service, boot_time_point now);

} // namespace baobabswitch
