#pragma once

#include "eventloop.h"

#include <chrono>

namespace baobabswitch {

/// What a read of a connection would find.
enum class pending_input {
    none,
    bytes,
    end ///< the peer closed or reset the connection
};

/// Looks at a socket without reading from it or waiting.
pending_input peek_input(int socket);

/// Has the system end connections whose peer is silent (TCP_USER_TIMEOUT and keep-alive probes).
/// `user_timeout` bounds how long sent data stays unacknowledged; `probe` is the idle time before and between
/// probes, of which two may be lost. Zero leaves the system's setting.
void set_dead_peer_timeouts(int socket, milliseconds user_timeout, std::chrono::seconds probe_interval);

} // namespace baobabswitch
