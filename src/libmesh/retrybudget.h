#pragma once

#include "bootclock.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabswitch {

/// Bound on repeated calls that all nodes share.
struct retry_bounds {
    double ratio = 0.2; ///< repeats per first call to a service
    double slack = 0;   ///< repeats allowed besides, of all nodes together
    boot_duration window = std::chrono::seconds{10};
};

/// First and repeated calls of this node to one service in the sliding window.
struct retry_window {
    static constexpr std::size_t buckets = 10;
    std::array<double, buckets> first_calls{};
    std::array<double, buckets> retries{};
    std::int64_t newest = 0; ///< number of the newest bucket since the clock's start
};

/// This node's part of the shared budget. Each node keeps to its own share, so the sum over all nodes stays
/// within the bound without a message.
struct retry_budget {
    retry_bounds bounds;
    double nodes = 1; ///< nodes that share the slack
    std::unordered_map<std::string, retry_window> by_service;
};

void count_first_call(retry_budget& budget, std::string_view service, boot_time_point now);
void count_retry(retry_budget& budget, std::string_view service, boot_time_point now);
/// Reports whether one more repeat stays within this node's share.
bool may_retry(retry_budget& budget, std::string_view service, boot_time_point now);

} // namespace baobabswitch
