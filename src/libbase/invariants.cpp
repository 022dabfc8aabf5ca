#include "invariants.h"

namespace baobabswitch {

namespace {

constexpr std::array<std::string_view, invariant_count> names{
    "retry_bound",   "shed_order",       "whole_answer", "honest_not_run", "at_most_once", "leaving_refuses",
    "graceful_stop", "config_monotonic", "promise_once", "promise_kept",   "store_rate",   "member_monotonic",
};

} // namespace

std::string_view invariant_name(invariant which) {
    return names.at(static_cast<std::size_t>(which));
}

bool check(invariant_table& table, invariant which, bool condition, std::string_view detail) {
    const auto n = static_cast<std::size_t>(which);
    table.checked.at(n).fetch_add(1, std::memory_order_relaxed);
    if (!condition) {
        table.violated.at(n).fetch_add(1, std::memory_order_relaxed);
        if (table.on_violation) {
            table.on_violation(which, detail);
        }
    }
    return condition;
}

std::uint64_t violations(const invariant_table& table) {
    std::uint64_t sum = 0;
    for (const auto& it : table.violated) {
        sum += it.load(std::memory_order_relaxed);
    }
    return sum;
}

} // namespace baobabswitch
