#pragma once

#include "entry.h"

namespace baobabswitch {

/// Forwards a keyed call to the node that issued its key. If that node is unreachable or was replaced, the
/// outcome is unknown, because an earlier request with the same key may have run there.
void forward_to_owner(node_state& node, const request_key& owner, entry_call call);

/// Handles /n/key/<key> at the owner of the key: POST forwards a call, GET queries its outcome.
void handle_key_message(node_state& node, http_request request,
                        const std::shared_ptr<http_exchange>& exchange);

/// Handles GET /v1/outcomes/<key>.
void handle_outcome(node_state& node, const http_request& request,
                    const std::shared_ptr<http_exchange>& exchange);

} // namespace baobabswitch
