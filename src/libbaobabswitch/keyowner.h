#pragma once

#include "entry.h"

namespace baobabswitch {

/// Passes a keyed call on to the node that issued its key. An owner that is out of reach or was replaced
/// gives the outcome unknown: an earlier arrival of the same key may have run there.
void forward_to_owner(node_state& node, const request_key& owner, entry_call call);

/// Handles /n/key/<key>: POST is a call forwarded to this node as the key's owner, GET asks for its outcome.
void handle_key_message(node_state& node, http_request request,
                        const std::shared_ptr<http_exchange>& exchange);

/// Handles GET /v1/outcomes/<key>.
void handle_outcome(node_state& node, const http_request& request,
                    const std::shared_ptr<http_exchange>& exchange);

} // namespace baobabswitch
