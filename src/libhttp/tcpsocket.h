#pragma once

#include "eventloop.h"

#include <chrono>

namespace baobabswitch {

/// What a read from a connection would return.
enum class pending_input {
    none,
    bytes,
    end ///< the peer closed or reset the connection
};

/// Checks a socket for input without consuming it or blocking.
pending_input peek_input(int socket);

/// Lets the system close the connection if its peer is unresponsive (TCP_USER_TIMEOUT and keep-alive probes).
/// `user_timeout` limits how long sent data stays unacknowledged; `probe_interval` is the idle time before
/// and between probes, of which two lost ones close the connection. 0: system default.
void set_dead_peer_timeouts(int socket, milliseconds user_timeout, std::chrono::seconds probe_interval);

} // namespace baobabswitch
