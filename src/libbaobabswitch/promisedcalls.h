#pragma once

#include "entry.h"
#include "promiseservice.h"

#include <functional>

namespace baobabswitch {

/// Reports whether a call that ended as not run may be promised instead. The policy mode must be
/// baobabswitch, the call must have no parent call, its kind must have patience, and the cause must be load,
/// an expired deadline, a missing or failed target, or a draining node.
bool may_promise(const node_state& node, const entry_call& call, const call_outcome& outcome);

/// Asks the platform to hold a call that was not run. The continuation gets the outcome "promised" once the
/// platform holds it, the original outcome if it certainly doesn't, and "unknown" otherwise. A call without a
/// key gets one.
void promise_call(node_state& node, entry_call& call, call_outcome not_run,
                  std::function<void(call_outcome)> on_decided);

/// Runs a promised call that this node has claimed.
void run_promised(node_state& node, promise_item item);

/// Claims promised calls while capacity is spare, and adopts batches whose holder is no longer live.
void tick_promises(node_state& node, time_point now);

/// Handles the outcome of a call whose caller is waiting for it. If it was not run, the promised calls of its
/// service pause.
void note_live_outcome(node_state& node, std::string_view service, outcome_kind outcome, time_point now);

/// Looks up the outcome of a key in the platform when the key's owner can't report it. The continuation gets
/// `otherwise` if no promise is found.
void find_promised_outcome(node_state& node, const std::string& key, call_outcome otherwise,
                           std::function<void(call_outcome)> on_found);

} // namespace baobabswitch
