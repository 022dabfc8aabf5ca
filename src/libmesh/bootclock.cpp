#include "bootclock.h"

#include <ctime>

namespace baobabswitch {

boot_clock::time_point boot_clock::now() noexcept {
    timespec it{};
    ::clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point{std::chrono::seconds{it.tv_sec} + std::chrono::nanoseconds{it.tv_nsec}};
}

} // namespace baobabswitch
