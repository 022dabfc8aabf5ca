#pragma once

#include "admissionlevel.h"
#include "concurrencylimiter.h"
#include "decisionlog.h"
#include "eventloop.h"
#include "hopprotocol.h"
#include "httpclient.h"
#include "httpserver.h"
#include "invariants.h"
#include "meshmetrics.h"
#include "platformport.h"
#include "retrybudget.h"
#include "routing.h"
#include "targettable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace baobabswitch {

/// The current configuration and data derived from it. A request uses the configuration that was current when
/// it arrived.
struct active_config {
    mesh_config config;
    route_table table;
    std::string document; ///< as published; sent to other nodes
};

/// A call at the local target, from its arrival at this node to its result.
struct local_run {
    run_id id = 0;
    hop_info info;
    http_request request;
    std::string request_id;
    std::function<void(hop_result)> done;
    boot_time_point arrived_at{};
    boot_time_point deadline{};
    boot_time_point dispatched_at{};
    std::optional<http_client::exchange_id> exchange; ///< set once the call is sent to the target
    cost_map costs;                                   ///< of nested calls
};

/// State of the target beside this node, from its announcements.
struct local_target {
    std::optional<target_announcement> current;
    bool leaving = false;  ///< receives no new calls
    bool verified = false; ///< confirmed to be the running incarnation
    bool reachable = true;
    unsigned announcements = 0;     ///< number received from the current incarnation
    boot_time_point announced_at{}; ///< time of the first one of the current incarnation
    boot_time_point next_health_check{};
    std::set<std::string> departed;       ///< incarnations that left, by incarnation_name()
    std::uint64_t newest_departed_ms = 0; ///< latest start among them, Unix time
};

using outbound_id = std::uint64_t;

/// A request that originated on this VM, from its arrival to its response.
struct outbound_call {
    outbound_id id = 0;
    http_request request;
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<const active_config> config;
    std::size_t route_index = 0;
    std::string request_id;
    std::string service;
    std::optional<run_id> parent; ///< the local run that made this call
    boot_time_point arrived_at{};
    boot_time_point deadline{};   ///< earlier of the caller's deadline and the route's timeout
    boot_time_point timeout_at{}; ///< arrival plus the route's timeout
    double priority = 0;          ///< see slot_request
    bool nested = false;          ///< see slot_request
    bool is_retry = false;        ///< the parent run was itself a retry
    bool answered = false;
    std::vector<std::string> tried; ///< nodes that were tried
    unsigned targets_reached = 0;   ///< targets that may have received the request
    bool may_have_run = false;      ///< the caller must not be told that the request did not run
    std::string hop_node;           ///< node of the current attempt
    std::optional<http_client::exchange_id> hop_exchange;
    std::optional<run_id> hop_run; ///< set if the target is the local one
    timer_handle timer;
};

/// Complete state of a node. Only used on the thread of the event loop.
struct mesh_state {
    mesh_state(event_loop& l, mesh_settings s, platform_port p);

    event_loop& loop;
    mesh_settings settings;
    platform_port port;
    decision_log log;
    mesh_metrics metrics;
    invariant_table invariants;
    std::mt19937_64 random;

    std::shared_ptr<const active_config> config; ///< null until one is received
    target_table targets;
    /// This node watches the configuration without delay, so others rely on it; see is_config_watcher().
    bool watches_config = false;
    bool targets_known = false; ///< target entries were received from the store or a peer
    admission_estimates estimates;
    retry_budget budget;

    local_target target;
    concurrency_limiter limiter;
    level_control level;           ///< from the utilization of the local target's slots
    level_control processor_level; ///< from the delay of this node's event loop
    std::unordered_map<run_id, local_run> runs;
    std::unordered_map<std::string, run_id> runs_by_request; ///< dispatched to the target, by request id
    run_id last_run = 0;

    std::unordered_map<outbound_id, outbound_call> calls;
    outbound_id last_call = 0;
    std::unordered_map<std::string, std::uint64_t> requests_by_route;   ///< for traffic splits
    std::unordered_map<std::string, boot_duration> max_caller_timeouts; ///< longest timeout seen, by route

    std::shared_ptr<body_memory> response_memory; ///< shared by both clients
    std::unique_ptr<http_client> peer_client;
    std::unique_ptr<http_client> target_client;

    std::map<endpoint, boot_time_point> last_state_push; ///< see push_peer_state()

    bool stopping = false;          ///< the node is not ready, and its responses close the connection
    bool withdrawing = false;       ///< the published entry says that the target accepts no calls
    bool refusing_requests = false; ///< new requests of callers are refused during a stop
    bool refusing_runs = false;     ///< new calls to the local target are refused during a stop
    boot_time_point stops_at = boot_time_point::max(); ///< end of a stop, with calls in flight or not
    /// Called when a peer shows that it has a newer configuration.
    std::function<void(const endpoint& peer)> on_newer_config;
    /// Called when a hop result shows that a peer has no configuration.
    std::function<void(const endpoint& peer)> on_unconfigured_peer;
};

/// Returns a uniformly distributed random number in [0, 1).
double uniform(mesh_state& state);
/// Returns the admission level that this node reports for its service: the lower of the target's and the
/// processor's level.
double advertised_level(const mesh_state& state);
/// Returns whether other nodes may rely on this one to tell them new configurations.
bool claims_config_watch(const mesh_state& state);
/// Records a message from the node beside a target, and what it says of its watch of the configuration. Logs
/// the return of a lost node.
void note_heard(mesh_state& state, target_view& view, bool watches_config);
/// Records that no connection to the node beside a target could be established. Logs its loss.
void note_unreachable(mesh_state& state, target_view& view);
/// Returns the version of the current configuration, or 0 if there is none.
std::uint64_t config_version(const mesh_state& state);
/// Activates a configuration if it is newer than the current one. Returns whether it was activated.
/// Fails with the error of the decoder.
result<bool> adopt_config(mesh_state& state, std::string document, std::string_view source);
/// Returns whether new calls may be sent to the local target.
bool accepts_calls(const mesh_state& state);
/// Returns a name that identifies one start of a target, even if another start has the same instance id.
std::string incarnation_name(const target_announcement& it);

} // namespace baobabswitch
