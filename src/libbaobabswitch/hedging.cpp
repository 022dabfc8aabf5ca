#include "hedging.h"

#include <algorithm>

namespace baobabswitch {

namespace {

constexpr std::size_t max_samples = 200;
constexpr std::size_t min_samples = 20;
constexpr double percentile = 0.95;
constexpr double max_credit = 5; ///< limits the burst of hedges after a period without any
constexpr double percent_unit = 100;

} // namespace

void record_latency(hedge_table& table, const std::string& kind, duration latency) {
    auto& it = table.kinds[kind];
    const double ms = std::chrono::duration<double, std::milli>(latency).count();
    if (it.ms.size() < max_samples) {
        it.ms.push_back(ms);
        return;
    }
    it.ms.at(it.next) = ms;
    it.next = (it.next + 1) % max_samples;
}

std::optional<duration> hedge_delay(const hedge_table& table, std::string_view kind) {
    const auto found = table.kinds.find(kind);
    if (found == table.kinds.end() || found->second.ms.size() < min_samples) {
        return std::nullopt;
    }
    auto ms = found->second.ms;
    const auto at = ms.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(ms.size() - 1) * percentile);
    std::nth_element(ms.begin(), at, ms.end());
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(*at));
}

void add_hedge_credit(hedge_table& table, unsigned percent) {
    table.credit = std::min(max_credit, table.credit + percent / percent_unit);
}

bool take_hedge(hedge_table& table) {
    if (table.credit < 1) {
        return false;
    }
    table.credit -= 1;
    return true;
}

} // namespace baobabswitch
