#include "servicetimes.h"

#include <algorithm>
#include <vector>

namespace baobabswitch {

namespace {

constexpr std::uint64_t averaged_samples = 10; ///< a plain mean up to here, then exponential smoothing
constexpr double long_kind_factor = 4;         ///< multiple of the median service time

} // namespace

void record_service_time(service_time_table& table, const std::string& kind, duration held) {
    auto& it = table.kinds[kind];
    const double ms = std::chrono::duration<double, std::milli>(held).count();
    it.samples = std::min(it.samples + 1, averaged_samples);
    it.mean_ms += (ms - it.mean_ms) / static_cast<double>(it.samples);
}

void record_elapsed_time(service_time_table& table, const std::string& kind, duration elapsed) {
    auto& it = table.kinds[kind];
    if (it.samples == 0) {
        it.mean_ms = std::max(it.mean_ms, std::chrono::duration<double, std::milli>(elapsed).count());
    }
}

double expected_service_ms(const service_time_table& table, std::string_view kind) {
    const auto it = table.kinds.find(kind);
    return it == table.kinds.end() ? 0 : it->second.mean_ms;
}

bool is_long_kind(const service_time_table& table, std::string_view kind) {
    const auto it = table.kinds.find(kind);
    if (it == table.kinds.end() || table.kinds.size() < 2) {
        return false;
    }
    std::vector<double> means;
    for (const auto& [name, time] : table.kinds) {
        means.push_back(time.mean_ms);
    }
    // The lower median allows the longer of two kinds to be classified as long.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return it->second.mean_ms > long_kind_factor * *middle;
}

} // namespace baobabswitch
