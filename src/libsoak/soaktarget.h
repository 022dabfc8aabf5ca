#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "platformport.h"
#include "soakledger.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabswitch {

constexpr milliseconds default_service_time{15};

/// A simulated target on the VM of a node. It executes requests, calls the service "back" for read requests
/// to "front", and announces itself to its node.
struct soak_target {
    endpoint address; ///< as announced; the fault proxy listens here and forwards to `listen`
    endpoint listen;
    endpoint control;  ///< control endpoint of its node
    endpoint outbound; ///< outbound endpoint of its node
    std::string service;
    std::string domain;
    std::string instance;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    std::uint64_t starts = 0;
    std::uint64_t calls = 0; ///< number of calls made by its requests
    unsigned slots = 8;
    std::map<std::string, boot_time_point> running; ///< start times of the requests in progress, by id
    bool leaving = false;
    std::optional<boot_time_point> leave_acknowledged_at; ///< time of the acknowledgement by its node
    bool up = false;
    /// End of the delay on the link to its node. Until then, a new call may arrive before the connection
    /// close of the cancelled call whose slot it takes, so more calls than slots are no violation.
    boot_time_point link_delayed_until{};
    milliseconds service_time = default_service_time; ///< processing time of a request without its calls
    std::unique_ptr<http_server> server;
};

/// Objects shared by all targets.
struct target_context {
    event_loop& loop;
    http_client& client;
    soak_ledger& ledger;
    const platform_port& port; ///< provides the names of header fields
};

/// Host name of all routes in the soak configuration.
constexpr std::string_view soak_caller_host = "soak.example";
/// Health check path of the targets in the soak configuration.
constexpr std::string_view soak_health_path = "/healthz";

/// Returns the header fields of a caller's request.
http_headers caller_headers(const platform_port& port, const std::string& id, milliseconds deadline);

/// Time in which new requests may still reach a target after its node acknowledged that the target leaves.
/// Equals `drain_s` in the platform's settings; the settings files that the soak writes don't contain it.
constexpr milliseconds drain_time{2000};

/// Starts listening. Fails with bad_settings if the address can't be bound.
result<void> open_target(const target_context& context, soak_target& it);
/// Starts a target as a new incarnation.
void start_target(soak_target& it);
/// Simulates a crash. The calling code must close the target's connections through the fault proxy; this
/// abandons the requests in progress.
void crash_target(soak_target& it);
/// Sends one announcement, as the targets of the platform do on every heartbeat.
void announce_target(const target_context& context, soak_target& it);

} // namespace baobabswitch
