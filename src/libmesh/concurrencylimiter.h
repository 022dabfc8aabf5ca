#pragma once

#include "bootclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

using run_id = std::uint64_t;

/// Request for a slot of the local target.
struct slot_request {
    run_id id = 0;
    std::string route;
    bool nested = false;               ///< made by a target on behalf of a running request
    double priority = 0;               ///< rank plus a random part in [0, 1); the highest value is shed first
    boot_duration time_left{};         ///< until the caller's deadline
    boot_duration latency_objective{}; ///< latency objective of the route
};

enum class slot_decision { start, wait, refuse };

/// A call in the node's queue for the target.
struct waiting_call {
    slot_request request;
    boot_time_point arrived_at;
    boot_time_point start_by; ///< the call expires then, since it would finish too late
    /// The earliest is started first. It follows start_by, so that new requests, which wait a small part of
    /// their objective, are not starved by calls of running ones, and of those the ones with least time left
    /// go first. With equal time left a shorter objective goes first.
    boot_time_point sort_key;
};

/// Limits the concurrent calls of the local target. All calls to the target pass through it, so the number of
/// slots in use is exact.
struct concurrency_limiter {
    unsigned slots = 0;
    unsigned running = 0;
    std::vector<waiting_call> waiting;                   ///< sorted by sort_key
    std::unordered_map<std::string, double> service_ms;  ///< mean service time by route
    std::unordered_map<std::string, double> baseline_ms; ///< slowly moving mean service time by route
    double slowness = 1;
};

/// Returns the maximum number of concurrent calls. Less than the number of slots, since targets slow down
/// when nearly full, and new connections and health checks also take slots.
unsigned usable_slots(const concurrency_limiter& limiter);

/// Decides whether a call starts, waits or is refused. On `start`, its slot is acquired.
slot_decision request_slot(concurrency_limiter& limiter, const slot_request& request, boot_time_point now);

/// Releases the slot of a call and records its service time. `service_time` is empty for a call that did not
/// complete.
void release_slot(concurrency_limiter& limiter, const std::string& route,
                  std::optional<boot_duration> service_time);

/// Dequeues the calls that can start now and acquires their slots.
std::vector<run_id> start_waiting(concurrency_limiter& limiter, boot_time_point now);

/// Dequeues the calls that can no longer finish in time.
std::vector<run_id> expire_waiting(concurrency_limiter& limiter, boot_time_point now);

/// Removes one call from the queue. Returns whether it was queued.
bool remove_waiting(concurrency_limiter& limiter, run_id id);

/// Returns the expected service time of a route.
boot_duration expected_service_time(const concurrency_limiter& limiter, const std::string& route);

/// Returns the number of running and waiting calls per usable slot.
double utilization(const concurrency_limiter& limiter);

} // namespace baobabswitch
