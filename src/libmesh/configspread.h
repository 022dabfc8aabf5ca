#pragma once

#include "meshstate.h"
#include "objectclient.h"

#include <functional>

namespace baobabswitch {

// Spread of new configurations within a failure domain. A waiting watch of the store costs ten times as much
// if it must not be stale, and each change wakes it, so only a few nodes of a domain watch that way. They
// tell the others, which watch with data that may be seconds old and see newer versions in hops. The choice
// is random for each watch: no node has to know which others are alive, and a bad choice costs calls or
// delays one of several ways to learn a version.

/// Path of the exchange of configurations between nodes, on the address for calls between nodes.
inline constexpr std::string_view peer_config_path = "/baobab/v1/config";

/// Chooses the freshness of one watch of the configuration. `domain_nodes` counts the known nodes of the
/// failure domain, this one included; `random` is uniform in [0, 1).
freshness choose_config_freshness(std::size_t domain_nodes, double random);

/// Sends the current configuration to the other nodes of the own failure domain. Large ones are only
/// announced.
void push_config_to_domain(mesh_state& state);

/// Requests the configuration of a peer and applies it. Calls `done` with whether this gave a newer one.
void pull_peer_config(mesh_state& state, const endpoint& peer, std::function<void(bool newer)> done);

/// Handles GET (send) and POST (receive) of a configuration.
void handle_peer_config(mesh_state& state, const http_request& request, http_exchange& exchange);

/// Finds the node that calls come from by its IP address. Returns its address for calls between nodes, or
/// nothing if it has published no entry.
std::optional<endpoint> find_peer(const mesh_state& state, std::string_view host);

} // namespace baobabswitch
