#pragma once

#include "meshstate.h"
#include "objectclient.h"

#include <functional>

namespace baobabswitch {

// Spread of new configurations within a failure domain. A waiting watch of the store costs ten times as much
// if it must not be stale, and each change wakes it, so only a few nodes of a domain watch that way. They
// tell the others, which watch with data that may be seconds old and see newer versions in hops. Nodes say in
// their messages whether they watch without delay, and a node leaves it to others only while it hears that
// from them. Without such messages it watches itself, which costs calls but delays no version.

/// Path of the exchange of configurations between nodes, on the address for calls between nodes.
inline constexpr std::string_view peer_config_path = "/baobab/v1/config";

/// Returns whether a node has to watch the configuration without delay: fewer than three nodes of its failure
/// domain whose names precede its own said within claim_lifetime() that they do.
bool is_config_watcher(const target_table& targets, const mesh_settings& node, boot_time_point now);

/// Sends the current configuration to the nodes of the own failure domain that may rely on this one. Large
/// ones are only announced.
void push_config_to_domain(mesh_state& state);

/// Sends the version of the configuration to lost nodes that are due, see is_check_due(). Their answers show
/// that they are back.
void check_lost_nodes(mesh_state& state);

/// Requests the configuration of a peer and applies it. Calls `done` with whether this gave a newer one.
void pull_peer_config(mesh_state& state, const endpoint& peer, std::function<void(bool newer)> done);

/// Handles GET (send) and POST (receive) of a configuration.
void handle_peer_config(mesh_state& state, const http_request& request, http_exchange& exchange);

/// Finds the node that calls come from by its IP address. Returns its address for calls between nodes, or
/// nothing if it has published no entry.
std::optional<endpoint> find_peer(const mesh_state& state, std::string_view host);

} // namespace baobabswitch
