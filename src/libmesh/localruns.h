#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Runs a call at the local target: at once, after a wait in the queue, or not at all. `done` is called
/// exactly once, possibly from inside this function.
run_id start_local_run(mesh_state& state, hop_info info, http_request request,
                       std::function<void(hop_result)> done);

/// Ends a run whose caller has gone. One that may not be repeated and was handed over goes on.
void cancel_local_run(mesh_state& state, run_id id);

/// Ends a run that was not handed to the target yet. Returns whether it was so: then it never runs.
bool cancel_queued_run(mesh_state& state, run_id id);

/// Refuses all queued calls, since the target is leaving or the node is stopping.
void refuse_queued_runs(mesh_state& state, std::string_view reason);

/// Starts and expires queued calls and moves the admission level. Called each tick.
void tick_local_runs(mesh_state& state, boot_duration elapsed);

} // namespace baobabswitch
