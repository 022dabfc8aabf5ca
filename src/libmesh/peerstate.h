#pragma once

#include "meshstate.h"

namespace baobabswitch {

/// Path on which nodes exchange what they know, on the address for calls between nodes.
inline constexpr std::string_view peer_state_path = "/baobab/v1/state";

/// Handles GET (tell) and POST (take in) of the configuration and the targets.
void handle_peer_state(mesh_state& state, const http_request& request, http_exchange& exchange);

/// Asks a peer for what it knows, when the store does not answer.
void pull_peer_state(mesh_state& state, const endpoint& peer);

/// Tells a peer that knows no configuration, at most once a second each.
void push_peer_state(mesh_state& state, const endpoint& peer);

/// Encodes the configuration in force and the known targets.
std::string encode_peer_state(const mesh_state& state);
/// Takes in what a peer told. Fails with malformed or the error of the configuration.
result<void> apply_peer_state(mesh_state& state, std::string_view text);

} // namespace baobabswitch
