#pragma once

#include "bootclock.h"
#include "errors.h"
#include "httpmessage.h"
#include "retrybudget.h"
#include "routing.h"

#include <functional>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Names of the header fields that callers and targets use.
struct call_headers {
    std::string request_id;      ///< unique for each attempt of a caller; targets echo it
    std::string time_left_ms;    ///< remaining time until the sender gives up
    std::string signature;       ///< set by targets on each response
    std::string target_instance; ///< the only target that may run the request
    std::string not_executed;    ///< set by a target that did not run the request
    std::string caller_service;  ///< service of the VM where the request originated
    std::string instance_id;     ///< instance id of the target in health responses
    std::string load;            ///< load of the target
};

/// Heartbeat of a target.
struct target_announcement {
    std::string instance;
    std::string service;
    std::string domain;
    endpoint address;
    std::uint64_t started_ms = 0; ///< Unix time of its start
    std::uint64_t sequence = 0;   ///< number of this announcement since the start
    unsigned slots = 0;
    bool leaving = false;
    bool withdrawn = false; ///< the target deregisters; only the instance id is set
    boot_duration warmup_left{};
};

/// Addresses that a node listens on.
struct node_listen {
    endpoint inbound;  ///< calls from other nodes
    endpoint outbound; ///< calls from callers and from the local target
    endpoint ready;
    endpoint control; ///< announcements of the local target
    endpoint metrics;
};

/// Settings of one node.
struct mesh_settings {
    std::string node;
    std::string domain;
    std::string service; ///< of the local target
    endpoint target;     ///< address of the local target
    node_listen listen;
    endpoint store;
    bool first_start = false; ///< first start of the whole system
    retry_bounds retries;
    std::size_t memory_bytes = 0; ///< memory of the VM available to this node; 0 if unknown
    boot_duration stop_time = std::chrono::seconds{6}; ///< from SIGTERM to SIGKILL
    /// Time within which a stored configuration has to be in force.
    boot_duration config_apply_time = std::chrono::seconds{2};
};

/// Platform-specific names, formats and decoders. Contains no policy.
struct platform_port {
    call_headers headers;
    std::string ready_path;
    std::string config_kind; ///< store kind of the published configuration
    std::string config_name;
    std::string target_kind; ///< store kind of the targets' entries
    std::function<result<mesh_config>(std::string_view)> decode_config;
    std::function<result<target_announcement>(const http_request&)> decode_announcement;
};

} // namespace baobabswitch
