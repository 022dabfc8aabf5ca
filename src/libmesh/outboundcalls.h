#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Handles a request of a caller on this VM, or a call that the local target makes.
void handle_outbound(mesh_state& state, http_request request, const std::shared_ptr<http_exchange>& exchange);

/// Ends the calls whose time is over. Timers do this on time, but stand still while the VM is suspended.
void expire_outbound(mesh_state& state);

} // namespace baobabswitch
