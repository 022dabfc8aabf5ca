#pragma once

#include "nodestate.h"

#include <memory>

namespace baobabswitch {

/// A call at its entry node. For a keyed call this is the node that owns the key.
struct entry_call {
    call_info info;
    std::string parent;      ///< call id of the parent, for a child call
    std::string child_label; ///< unique within the parent
    std::string key;
    bool from_peer = false; ///< forwarded by the node that received it from the caller
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<key_record> record; ///< set for keyed requests and labelled child calls
    unsigned loan = 0;                  ///< retries borrowed from the key record or the parent call
    time_point arrived;
};

/// Handles POST /v1/call/<service>/<path>: a call from an external caller, or a child call from the local
/// target.
void handle_call(node_state& node, http_request request, const std::shared_ptr<http_exchange>& exchange);

/// Handles POST /v1/keys: issues idempotency keys.
void handle_issue_keys(node_state& node, const http_request& request, http_exchange& exchange);

/// Validates the kind, the target "<service>/<path>" and the timeout of a call. Fails with too_large,
/// unknown_kind, unknown_service or bad_timeout.
result<call_info> read_call(const node_state& node, std::string_view target, std::string_view kind,
                            std::optional<std::string_view> timeout, time_point now);

/// Starts a call; its key, if any, must be owned by this node.
void start_entry(node_state& node, entry_call call);

/// Sends the outcome of a call to its caller, or to the node that forwarded it.
void send_entry_outcome(node_state& node, const entry_call& call, call_outcome outcome);

/// Refuses a call because of invalid input or the state of this node.
void refuse_entry(node_state& node, const entry_call& call, outcome_kind kind, error cause);

} // namespace baobabswitch
