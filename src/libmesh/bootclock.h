#pragma once

#include <chrono>
#include <cstdint>

namespace baobabswitch {

/// Monotonic clock that goes on while the VM is suspended (CLOCK_BOOTTIME). Deadlines use it, since the
/// steady clock stands still during a suspension and the wall clock jumps.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard

    static time_point now() noexcept;
};

using moment = boot_clock::time_point;
using span_of_time = boot_clock::duration;

/// Returns a span in milliseconds.
inline double to_ms(span_of_time it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

/// Returns a span of so many milliseconds.
inline span_of_time from_ms(double it) {
    return std::chrono::duration_cast<span_of_time>(std::chrono::duration<double, std::milli>(it));
}

} // namespace baobabswitch
