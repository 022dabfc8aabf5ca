#pragma once

#include "nodestate.h"
#include "objectstore.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace caf {
class actor_system;
}

namespace baobabswitch {

/// The actors of one node around the state machines of sharing.h. One actor owns membership and
/// configuration; two detached ones make the blocking calls to the platform, so that a long poll does not
/// delay the status. Immutable snapshots are posted to the event loop. All functions are for the event loop's
/// thread.
class sharing_service {
public:
    /// `store` may be null. `initial_document` is taken as version 0 unless it is null.
    sharing_service(caf::actor_system& system, node_state& node, std::shared_ptr<object_store> store,
                    nlohmann::json initial_document);
    ~sharing_service();
    sharing_service(const sharing_service&) = delete;
    sharing_service& operator=(const sharing_service&) = delete;
    sharing_service(sharing_service&&) = delete;
    sharing_service& operator=(sharing_service&&) = delete;

    /// Runs a round; call it once a second.
    void round();
    /// Spreads the node's own entry if it changed; a change of state is pushed at once.
    void publish_own_entry();
    /// Starts no further calls to the platform, so that the node can exit soon.
    void stop_platform_calls();
    void handle_gossip(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    void handle_config(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

/// Takes a member table into the tables of the event loop. The node's own entry stays.
void apply_members(node_state& node, const member_table& members);

/// Marks silent peers unavailable in the target table, and sends the probes that are due.
void send_due_probes(node_state& node, time_point now);

} // namespace baobabswitch
