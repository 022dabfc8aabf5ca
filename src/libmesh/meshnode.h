#pragma once

#include "meshstate.h"
#include "objectclient.h"
#include "storesync.h"

#include <memory>
#include <vector>

namespace baobabswitch {

/// One node of the mesh: routes requests of callers on its VM to targets, and controls the load of the local
/// target.
class mesh_node {
public:
    /// Starts to listen and to watch the store. Fails with bad_settings if an address cannot be bound.
    static result<std::unique_ptr<mesh_node>> create(event_loop& loop, mesh_settings settings,
                                                     platform_port port,
                                                     std::unique_ptr<object_client> store);

    mesh_node(event_loop& loop, mesh_settings settings, platform_port port,
              std::unique_ptr<object_client> store);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;
    mesh_node(mesh_node&&) = delete;
    mesh_node& operator=(mesh_node&&) = delete;

    mesh_state& state();
    /// Applies the retry limits, the stop time and the time for a configuration to be in force of changed
    /// settings. Other changes take effect only after a restart.
    void reload(const mesh_settings& changed);
    /// Refuses new calls after a delay in which callers and other nodes stop using this node. Stops the event
    /// loop once no calls are in flight or the stop time is nearly over.
    void stop();

private:
    result<void> listen();
    result<void> add_server(const endpoint& address, http_server_options options,
                            http_server::handler handler);
    void handle_inbound(http_request request, const std::shared_ptr<http_exchange>& exchange);
    void handle_announcement(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    void handle_ready(const http_request& request, http_exchange& exchange);
    void tick();
    void apply_limits();
    void update_gauges();
    void log_admission_level();
    void stop_when_idle();

    event_loop& loop_;
    mesh_state state_;
    std::unique_ptr<object_client> store_;
    store_sync store_sync_;
    std::vector<std::unique_ptr<http_server>> servers_;
    http_server* outbound_ = nullptr;
    std::uint64_t limits_version_ = 0;
    boot_time_point last_tick_{};
    loop_delays loop_delays_;
    boot_duration loop_delay_{}; ///< see min_recent_delay()
    boot_time_point stop_started_{};
    bool closing_connections_ = false; ///< last phase of a stop
    unsigned ticks_ = 0;
};

} // namespace baobabswitch
