#pragma once

#include "admissionlevel.h"
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
#include "targetdirectory.h"
#include "targetgate.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace baobabswitch {

/// A configuration in force, with what is derived from it. Requests keep the one that they began under.
struct active_config {
    mesh_config config;
    route_table table;
    std::string document; ///< as published, handed on to other nodes
};

/// A call at the local target, from its arrival beside it to its answer.
struct local_run {
    run_id id = 0;
    hop_info info;
    http_request request;
    std::string request_id;
    std::function<void(hop_result)> done;
    boot_time_point arrived_at{};
    boot_time_point deadline{};
    boot_time_point dispatched_at{};
    std::optional<http_client::exchange_id> exchange; ///< once handed to the target
    cost_map costs;                                   ///< of its nested calls
};

/// The target beside this node, by its own announcements.
struct local_target {
    std::optional<target_announcement> current;
    bool leaving = false;  ///< no new call is handed to it
    bool verified = false; ///< known to be the one that runs now
    bool reachable = true;
    unsigned announcements = 0;     ///< of the current start
    boot_time_point announced_at{}; ///< first one of the current start
    boot_time_point next_health_check{};
    std::set<std::string> departed; ///< incarnations that left, see incarnation_name()
};

using outbound_id = std::uint64_t;

/// A request that began on this VM, from its arrival to its answer.
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
    boot_time_point deadline{};   ///< the caller's deadline or the route's timeout, whichever is first
    boot_time_point timeout_at{}; ///< the route's timeout
    double priority = 0;
    bool nested = false;
    bool is_retry = false; ///< of a run that was itself a repeat
    bool answered = false;
    std::vector<std::string> tried; ///< nodes
    unsigned targets_reached = 0;   ///< targets that may have got the request
    bool may_have_run = false;      ///< "not run" can no longer be told
    std::string hop_node;           ///< of the attempt in progress
    std::optional<http_client::exchange_id> hop_exchange;
    std::optional<run_id> hop_run; ///< when the target is the local one
    timer_handle timer;
};

/// All tables of a node; the systems in the other files run over them on the event loop.
struct mesh_state {
    mesh_state(event_loop& l, mesh_settings s, platform_port p);

    event_loop& loop;
    mesh_settings settings;
    platform_port port;
    decision_log log;
    mesh_metrics metrics;
    invariant_table invariants;
    std::mt19937_64 random;

    std::shared_ptr<const active_config> config; ///< null until one is known
    target_table targets;
    bool targets_known = false;
    admission_estimates estimates;
    retry_budget budget;

    local_target target;
    concurrency_limiter limiter;
    level_control level;           ///< by the slots of the local target
    level_control processor_level; ///< by the delay of this node's event loop
    std::unordered_map<run_id, local_run> runs;
    std::unordered_map<std::string, run_id> runs_by_request; ///< calls in the target
    run_id last_run = 0;

    std::unordered_map<outbound_id, outbound_call> calls;
    outbound_id last_call = 0;
    std::unordered_map<std::string, std::uint64_t> requests_by_route;   ///< for splits
    std::unordered_map<std::string, boot_duration> max_caller_timeouts; ///< longest seen, by route

    std::unique_ptr<http_client> peer_client;
    std::unique_ptr<http_client> target_client;

    std::map<endpoint, boot_time_point> last_state_push; ///< of the own knowledge to uninformed peers

    bool stopping = false;          ///< the process ends soon; callers are told to leave
    bool withdrawing = false;       ///< other nodes are told to send no more calls
    bool refusing_requests = false; ///< callers get no new request in, since the process ends
    bool refusing_runs = false;     ///< the local target gets no new calls, since the process ends
    /// Called when a peer or an answer shows that a newer configuration exists.
    std::function<void(std::uint64_t version, const endpoint& peer)> on_newer_config;
    /// Called when a peer turns out to know no configuration.
    std::function<void(const endpoint& peer)> on_unconfigured_peer;
};

/// Returns a uniform number in [0, 1).
double uniform(mesh_state& state);
/// Returns the level that this node tells of its service: the lower of its target's and its own.
double advertised_level(const mesh_state& state);
/// Returns the version in force, 0 if none.
std::uint64_t config_version(const mesh_state& state);
/// Puts a configuration in force if it is newer than the one in force. Returns whether it did.
/// Fails with the error of the decoder.
result<bool> adopt_config(mesh_state& state, std::string document, std::string_view source);
/// Reports whether new calls may go to the local target.
bool accepts_calls(const mesh_state& state);
/// Returns a name that tells apart the starts of a target, also under one id.
std::string incarnation_name(const target_announcement& it);

} // namespace baobabswitch
