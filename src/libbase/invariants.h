#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace baobabswitch {

/// Conditions that must hold at all times; checking them at run time monitors the guarantees in
/// docs/promises.md.
enum class invariant : std::uint8_t {
    retry_bound,      ///< a call uses no more retries than it was granted
    shed_order,       ///< no call is rejected while less important work could be shed
    whole_answer,     ///< a response is complete and belongs to its call
    honest_not_run,   ///< "not run" is reported only for calls that no target started
    at_most_once,     ///< a non-idempotent request is sent to at most one target
    leaving_refuses,  ///< a leaving target gets no new calls
    graceful_stop,    ///< a planned shutdown interrupts no call in flight
    config_monotonic, ///< the version of the active configuration never decreases
    promise_once,     ///< a promised non-idempotent call is claimed before it runs, and runs once
    promise_kept,     ///< a promise is confirmed only after the platform has stored it
    store_rate,       ///< the rate of calls to the platform stays within the store budget
    member_monotonic, ///< a member's incarnation and version never decrease
};

inline constexpr std::size_t invariant_count = 12;

/// Returns the name of an invariant as used in metrics and reports, for example "retry_bound".
std::string_view invariant_name(invariant which);

/// Counts how often each invariant was checked and violated. The counters may be used from any thread.
struct invariant_table {
    std::array<std::atomic<std::uint64_t>, invariant_count> checked{};
    std::array<std::atomic<std::uint64_t>, invariant_count> violated{};
    /// Called on each violation, in the thread that made the check; daemons log it, tests fail.
    std::function<void(invariant, std::string_view detail)> on_violation;
};

/// Records one check of an invariant and returns the condition.
bool check(invariant_table& table, invariant which, bool condition, std::string_view detail);

/// Returns the sum of all violations.
std::uint64_t violations(const invariant_table& table);

} // namespace baobabswitch
