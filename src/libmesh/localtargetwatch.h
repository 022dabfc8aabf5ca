#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Effect of an announcement on the state of the local target.
enum class announcement_effect {
    none,
    started, ///< a new incarnation, which must be verified before it receives calls
    changed, ///< slots or reachability changed
    leaving  ///< the target is leaving; the response waits until this is stored, with a timeout
};

/// Applies an announcement of the local target. Ignores announcements of incarnations that left or that are
/// older than the current one, and announcements that arrive out of order.
announcement_effect apply_announcement(mesh_state& state, const target_announcement& it);

/// Uses a stored target as the current one until it announces itself, so that a restarted node does not have
/// to wait for the next announcement. The target receives no calls until it is verified, see
/// tick_verification().
void restore_target(mesh_state& state, const target_entry& stored);

/// Records that an incarnation of the target was stored as leaving, possibly before this node restarted.
void record_departed(mesh_state& state, const target_entry& stored);

/// Applies the response to a health check. The target is verified if it is healthy and reports the instance
/// id of the current incarnation.
void apply_health_response(mesh_state& state, const http_result& answer);

/// Sends a health check to an unverified target, at most one every half a second. Before the first one, waits
/// with a timeout until the target entries are known, since this node's stored entry may say that the target
/// left. A target that keeps sending announcements is verified even without a successful health check. Calls
/// `on_verified` when the target is verified. Called on each tick.
void tick_verification(mesh_state& state, std::function<void()> on_verified);

/// Returns the entry that this node publishes. The instance id is empty while no target is known.
target_entry own_entry(const mesh_state& state);

} // namespace baobabswitch
