#pragma once

#include <cstdint>

namespace baobabswitch {

/// Returns the wall clock in ms since the Unix epoch, for times that outlive the process or are compared
/// between VMs.
std::uint64_t wall_clock_ms();

} // namespace baobabswitch
