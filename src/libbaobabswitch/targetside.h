#pragma once

#include "nodestate.h"

#include <memory>

namespace baobabswitch {

/// Handles POST /n/call/<service>/<path>: a call from a node to the target beside this one.
void handle_hop(node_state& node, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange);

/// Handles POST /n/cancel/<call id>: the sender of a call gives it up, and its exchange stays open.
void handle_cancel(node_state& node, const http_request& request, http_exchange& exchange);

/// Handles POST /n/announce from the target on this VM.
void handle_announce(node_state& node, const http_request& request, http_exchange& exchange);

/// Applies the configuration in force to the local target's admission table.
void update_admission_limits(node_state& node);

/// Upkeep of the local target: expired calls, missing announcements.
void tick_target_side(node_state& node, time_point now);

/// Writes this node's own entry into the member table if it changed.
void update_own_entry(node_state& node);

} // namespace baobabswitch
