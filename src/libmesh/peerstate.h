#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Path of the state exchange between nodes, on the address for calls between nodes.
inline constexpr std::string_view peer_state_path = "/baobab/v1/state";

/// Handles GET (send) and POST (receive) of the configuration and the targets.
void handle_peer_state(mesh_state& state, const http_request& request, http_exchange& exchange);

/// Requests the state of a peer, applies it and calls `done`. Used when the store does not answer.
void pull_peer_state(mesh_state& state, const endpoint& peer, std::function<void()> done);

/// Sends this node's state to a peer that has no configuration, at most once a second per peer. Does nothing
/// while this node has no configuration.
void push_peer_state(mesh_state& state, const endpoint& peer);

/// Encodes the current configuration and the known targets.
std::string encode_peer_state(const mesh_state& state);
/// Applies the state of a peer. Fails with malformed or the error of the configuration.
result<void> apply_peer_state(mesh_state& state, std::string_view text);

} // namespace baobabswitch
