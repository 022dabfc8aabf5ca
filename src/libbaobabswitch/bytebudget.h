#pragma once

#include "eventloop.h"

#include <cstddef>

namespace baobabswitch {

/// Bytes that a node may spend on control traffic per second (design §1.6, §11).
inline constexpr double control_bytes_per_second = 6000;

/// Token bucket over the control traffic that a node sends; holds at most one second's allowance.
struct byte_budget {
    double tokens = control_bytes_per_second;
    time_point updated;
};

/// Returns the bytes that may be sent now.
std::size_t available_bytes(byte_budget& budget, time_point now);
/// Takes n bytes and returns true, or returns false when the budget doesn't hold them.
bool spend_bytes(byte_budget& budget, std::size_t n, time_point now);
/// Takes n bytes for an answer, which is sent in any case: a peer without one takes this node for silent. The
/// bucket may owe up to one second's allowance, during which the node starts no messages of its own.
void charge_response_bytes(byte_budget& budget, std::size_t n, time_point now);

} // namespace baobabswitch
