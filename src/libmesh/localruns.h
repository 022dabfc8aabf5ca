#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Sends a call to the local target immediately, queues it or refuses it. `done` is called exactly once,
/// possibly before this function returns.
run_id start_local_run(mesh_state& state, hop_info info, http_request request,
                       std::function<void(hop_result)> done);

/// Cancels a run whose caller has disconnected or timed out. A non-idempotent run that was dispatched to the
/// target continues.
void cancel_local_run(mesh_state& state, run_id id);

/// Cancels a run that has not been dispatched to the target yet. Returns false if it was dispatched or is
/// unknown; on true, the call never runs.
bool cancel_queued_run(mesh_state& state, run_id id);

/// Refuses all queued calls. Used when the target is leaving or the node is stopping.
void refuse_queued_runs(mesh_state& state, std::string_view reason);

/// Starts and expires queued calls and updates the admission level. Called on each tick.
void tick_local_runs(mesh_state& state, boot_duration elapsed);

} // namespace baobabswitch
