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

/// A target beside a node: runs requests, calls the service "back" for those of "front", and announces itself
/// to its node until that acknowledged that it leaves.
struct soak_target {
    endpoint address; ///< as announced; behind it the fault proxy passes connections on to `listen`
    endpoint listen;
    endpoint control;  ///< of the node beside it
    endpoint outbound; ///< of the node beside it
    std::string service;
    std::string domain;
    std::string instance;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    std::uint64_t starts = 0;
    std::uint64_t calls = 0; ///< made by its runs
    unsigned slots = 8;
    std::map<std::string, boot_time_point> running; ///< starts of the requests in progress, by id
    bool leaving = false;
    std::optional<boot_time_point> leave_acknowledged_at; ///< its leaving was acknowledged
    bool up = false;
    /// Until then the link to its node delays bytes, so that the end of a cancelled call may arrive after the
    /// call that took its slot.
    boot_time_point link_delayed_until{};
    milliseconds service_time = default_service_time; ///< time that a request takes, without its calls
    std::unique_ptr<http_server> server;
};

/// What all targets use.
struct target_context {
    event_loop& loop;
    http_client& client;
    soak_ledger& ledger;
    const platform_port& port; ///< names of header fields
};

/// Name of the host that all routes of the soak are for.
constexpr std::string_view soak_caller_host = "soak.example";
/// Path of the targets' health checks, as the configuration of the soak states it.
constexpr std::string_view soak_health_path = "/healthz";

/// Returns the header fields of a caller's request.
http_headers caller_headers(const platform_port& port, const std::string& id, milliseconds deadline);

/// Time for which new requests may still reach a target whose leaving was acknowledged: `drain_s` of the
/// settings that the soak writes.
constexpr milliseconds drain_time{2000};

/// Starts to listen. Fails with bad_settings when the address can't be bound.
result<void> open_target(const target_context& context, soak_target& it);
/// Starts a target as a new incarnation.
void start_target(soak_target& it);
/// Ends a target at once. Its connections must be cut by the fault proxy, which ends what it runs.
void crash_target(soak_target& it);
/// Sends one announcement, as the platform's targets do each heartbeat.
void announce_target(const target_context& context, soak_target& it);

} // namespace baobabswitch
