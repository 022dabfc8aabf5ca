#include "wallclock.h"

#include <chrono>

namespace baobabswitch {

std::uint64_t wall_clock_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

} // namespace baobabswitch
