#pragma once

#include "nodestate.h"
#include "objectstore.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace caf {
class actor_system;
}

namespace baobabswitch {

/// Runs the state machines of sharing.h for one node on actors. One actor owns membership and configuration;
/// two detached actors make the blocking calls to the platform, so that a long poll doesn't delay the status
/// write. Results are posted to the event loop as immutable snapshots. All functions must be called on the
/// event loop's thread.
class sharing_service {
public:
    /// `store` is null for a node without a platform connection. `initial_document` is applied as version 0
    /// unless it is null.
    sharing_service(caf::actor_system& system, node_state& node, std::shared_ptr<object_store> store,
                    nlohmann::json initial_document);
    ~sharing_service();
    sharing_service(const sharing_service&) = delete;
    sharing_service& operator=(const sharing_service&) = delete;
    sharing_service(sharing_service&&) = delete;
    sharing_service& operator=(sharing_service&&) = delete;

    /// Runs a round; call it once a second.
    void round();
    /// Publishes the node's own entry if it changed; a change of its state is pushed immediately.
    void publish_own_entry();
    /// Prevents further calls to the platform, so that the node can exit soon.
    void stop_platform_calls();
    void handle_gossip(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    void handle_config(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

/// Replaces the event loop's member table, except for the node's own entry, and updates the tables derived
/// from it.
void apply_members(node_state& node, const member_table& members);

/// Sends the probes that are due, and marks the targets of silent peers as unavailable.
void send_due_probes(node_state& node, time_point now);

} // namespace baobabswitch
