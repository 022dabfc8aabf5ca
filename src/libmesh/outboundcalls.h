#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Handles a request of a caller on this VM or a nested call of the local target.
void handle_outbound(mesh_state& state, http_request request, const std::shared_ptr<http_exchange>& exchange);

/// Responds to all calls without a response, at the end of a stop: 503 if the request has not run and never
/// will, else 502. Returns how many there were.
std::size_t end_outbound(mesh_state& state, std::string_view reason);

/// Times out calls past their deadline. Each call has a timer for this, but timers stop while the VM is
/// suspended.
void expire_outbound(mesh_state& state);

} // namespace baobabswitch
