#pragma once

#include "nodestate.h"

#include <memory>

namespace caf {
class actor_system;
}

namespace baobabswitch {

class object_store;
class sharing_service;

/// A node: its state and the HTTP server that dispatches requests to the handlers.
class node {
public:
    /// Creates a node and starts listening. Fails with bad_settings or bad_document.
    static result<std::unique_ptr<node>> create(event_loop& loop, node_settings settings,
                                                invariant_table& invariants, node_metrics& metrics);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    node_state& state();
    /// Starts sharing membership and configuration with other nodes. `store` may be null. Before this call,
    /// the member table contains only this node. Fails with not_found.
    result<void> start_sharing(caf::actor_system& actors, std::shared_ptr<object_store> store);
    /// Stops accepting new calls, waits for calls in flight and then stops the event loop.
    void drain();

    explicit node(event_loop& loop, node_settings settings, invariant_table& invariants,
                  node_metrics& metrics);

private:
    void dispatch(http_request request, const std::shared_ptr<http_exchange>& exchange);
    void dispatch_peer(http_request request, const std::shared_ptr<http_exchange>& exchange);
    void tick();
    void gossip();
    void stop_when_idle();
    void refuse_request(http_exchange& exchange, error cause);

    node_state state_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<sharing_service> sharing_;
    time_point drain_started_;
    bool closing_connections_ = false; ///< last phase of a drain
};

} // namespace baobabswitch
