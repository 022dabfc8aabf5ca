#pragma once

#include "nodestate.h"

#include <memory>

namespace baobabswitch {

/// A call at the node where it enters the system; for a keyed call this is the owner of its key.
struct entry_call {
    call_info info;
    std::string parent;      ///< call id of the parent, for a child call
    std::string child_label; ///< unique within the parent
    std::string key;
    bool from_peer = false; ///< forwarded by the node that the caller chose
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<key_record> record; ///< of a keyed request or labelled child call
    unsigned loan = 0;                  ///< retries lent by the record or by the parent
    time_point arrived;
};

/// Handles POST /v1/call/<service>/<path>: a call from an external caller or a child call of the local
/// target.
void handle_call(node_state& node, http_request request, const std::shared_ptr<http_exchange>& exchange);

/// Handles POST /v1/keys: issues idempotency keys.
void handle_issue_keys(node_state& node, const http_request& request, http_exchange& exchange);

/// Reads the kind, the target "<service>/<path>" and the timeout of a call. Fails with the error kinds of bad
/// input.
result<call_info> read_call(const node_state& node, std::string_view target, std::string_view kind,
                            std::optional<std::string_view> timeout, time_point now);

/// Starts a call whose key, if any, this node owns.
void start_entry(node_state& node, entry_call call);

/// Answers a call that entered here or was forwarded here.
void answer_entry(node_state& node, const entry_call& call, call_outcome outcome);

/// Answers a call that is refused because of its input or of this node's state.
void refuse_entry(node_state& node, const entry_call& call, outcome_kind kind, error cause);

} // namespace baobabswitch
