#pragma once

#include "admission.h"
#include "calltrace.h"
#include "calltypes.h"
#include "concurrency.h"
#include "configdocument.h"
#include "eventloop.h"
#include "hedging.h"
#include "httpclient.h"
#include "httpserver.h"
#include "invariants.h"
#include "membership.h"
#include "metrics.h"
#include "peerprobe.h"
#include "requestkeys.h"
#include "retryledger.h"
#include "servicetimes.h"
#include "settings.h"
#include "targetchoice.h"
#include "thresholds.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

class outgoing_call;

/// Maximum size of each table of calls (§10 of the design).
inline constexpr std::size_t max_calls = 20'000;

/// The local target, as described by its latest announcement.
struct local_target {
    std::string service;
    endpoint address;
    std::size_t slots = 0;
    std::size_t connections = 0;
    target_state state = target_state::none;
    time_point last_announced;
    time_point leaving_since;       ///< set while the state is leaving
    std::vector<std::string> kinds; ///< configured kinds of the service
};

/// A call that this node received for its target.
struct target_call {
    call_info info;
    retry_ledger ledger; ///< retry budget for child calls
    std::function<void(call_outcome)> finish;
    attempt_tracker attempts; ///< one unresolved attempt while the target may have run the call
    bool sent = false;        ///< was sent to the target
    bool cancelled = false;   ///< cancellation was requested from the target
    http_client::exchange_id exchange = 0;
    time_point received;
    time_point started;
    /// Non-idempotent child calls by their label.
    std::map<std::string, std::shared_ptr<key_record>> labelled_children;
    std::vector<std::weak_ptr<outgoing_call>> children; ///< child calls in progress
    duration child_time{0};                             ///< total duration of completed child calls
};

class promise_service;

/// Concurrency limit for promised calls of a service that this node runs.
struct replay_limit {
    double max_running = 1;
    unsigned running = 0;
    time_point paused_until;
};

/// State of a node. Must be accessed from the event loop thread only.
struct node_state {
    node_state(event_loop& events, node_settings config, invariant_table& invariant_counts,
               node_metrics& counters);

    event_loop& loop;
    node_settings settings;
    invariant_table& invariants;
    node_metrics& metrics;
    http_client peer_client;
    http_client target_client;
    random_engine rng;
    std::uint64_t incarnation;
    std::uint64_t last_call_number = 0;
    std::shared_ptr<const configuration> config;
    member_table members;
    target_table target_choice;
    hedge_table hedges;
    probe_table probes;
    local_target target;
    admission_table admission;
    concurrency_limit concurrency;                      ///< of the local target
    service_time_table service_times;                   ///< of the local target
    demand_meter demand;                                ///< at the local target
    downstream_levels downstream;                       ///< of the child calls of the local target
    threshold_table thresholds;                         ///< of the services that this node calls
    std::unordered_map<std::string, target_call> calls; ///< at the local target, by call id
    key_table keys;
    call_trace trace;
    promise_service* promises = nullptr;               ///< null without a platform
    std::map<std::string, replay_limit> replay_limits; ///< by service
    time_point next_adoption;                          ///< next search for promised calls to adopt
    bool draining = false;
    std::size_t pending_entries = 0; ///< calls accepted from callers without a response yet
};

/// Records a decision about a request, for the explain command.
void trace_call(node_state& node, std::string_view request, std::string_view call, std::string_view event,
                std::string detail);

/// Returns a new call id "<node>.<incarnation>.<n>".
std::string next_call_id(node_state& node);

} // namespace baobabswitch
