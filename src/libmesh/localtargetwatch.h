#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// What an announcement changed.
enum class announcement_effect {
    none,
    started, ///< a new incarnation, to be verified before it gets calls
    changed, ///< slots or the like
    leaving  ///< it leaves; answer only once that is stored or can't be
};

/// Takes in an announcement of the local target. Announcements of incarnations that left, that are older than
/// the current one, or that were overtaken by a later one change nothing.
announcement_effect apply_announcement(mesh_state& state, const target_announcement& it);

/// Takes a stored target as the current one until it announces itself, so that a restarted node need not wait
/// for the next announcement. It still gets no calls until its health check names it.
void restore_target(mesh_state& state, const target_entry& stored);

/// Takes in that a start of the target was stored as leaving, maybe before this node was restarted.
void record_departed(mesh_state& state, const target_entry& stored);

/// Takes in the answer to a health check: only the incarnation that answers as healthy gets calls.
void apply_health_response(mesh_state& state, const http_result& answer);

/// Asks a target that is not verified yet for its health, at most every half a second, once the stored entry
/// of this node was read or could not be for a while. Called each tick.
void tick_verification(mesh_state& state, std::function<void()> on_verified);

/// Returns the entry that this node publishes; without an instance while no target is known.
target_entry own_entry(const mesh_state& state);

} // namespace baobabswitch
