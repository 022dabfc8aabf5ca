#pragma once

#include <chrono>
#include <cstdint>

namespace baobabswitch {

/// Monotonic clock that keeps running while the VM is suspended (CLOCK_BOOTTIME). Used for deadlines, since
/// the steady clock stops during a suspension and the wall clock may jump.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard

    static time_point now() noexcept;
};

using boot_time_point = boot_clock::time_point;
using boot_duration = boot_clock::duration;

/// Converts a duration to milliseconds.
inline double to_ms(boot_duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

/// Converts milliseconds to a duration.
inline boot_duration from_ms(double it) {
    return std::chrono::duration_cast<boot_duration>(std::chrono::duration<double, std::milli>(it));
}

} // namespace baobabswitch
