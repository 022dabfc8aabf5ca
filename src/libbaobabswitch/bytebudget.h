#pragma once

#include "eventloop.h"

#include <cstddef>

namespace baobabswitch {

/// Maximum control traffic that a node sends per second (design §1.6, §11).
inline constexpr double control_bytes_per_second = 6000;

/// Token bucket that limits outgoing control traffic; its capacity is one second's worth of bytes.
struct byte_budget {
    double tokens = control_bytes_per_second;
    time_point updated;
};

/// Refills the bucket and returns the number of bytes that may be sent now.
std::size_t available_bytes(byte_budget& budget, time_point now);
/// Consumes n bytes and returns true; returns false and consumes nothing if fewer are available.
bool spend_bytes(byte_budget& budget, std::size_t n, time_point now);
/// Consumes n bytes for a response, which is always sent: a peer that gets none considers this node
/// unreachable. The balance may go negative by up to one second's worth of bytes; until it recovers, the node
/// initiates no messages.
void charge_response_bytes(byte_budget& budget, std::size_t n, time_point now);

} // namespace baobabswitch
