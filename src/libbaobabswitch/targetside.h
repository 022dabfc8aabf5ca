#pragma once

#include "nodestate.h"

#include <memory>

namespace baobabswitch {

/// Handles POST /n/call/<service>/<path>: a call from another node to the local target.
void handle_hop(node_state& node, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange);

/// Handles POST /n/cancel/<call id>: the sender cancels a call but keeps its exchange open for the outcome.
void handle_cancel(node_state& node, const http_request& request, http_exchange& exchange);

/// Handles POST /n/announce from the local target.
void handle_announce(node_state& node, const http_request& request, http_exchange& exchange);

/// Applies the current configuration to the admission limits of the local target.
void update_admission_limits(node_state& node);

/// Periodic maintenance of the local target: measurements, expired calls and missing announcements.
void tick_target_side(node_state& node, time_point now);

/// Updates this node's own entry in the member table if it changed.
void update_own_entry(node_state& node);

} // namespace baobabswitch
