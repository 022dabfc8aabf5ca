#pragma once

#include "bootclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

using run_id = std::uint64_t;

/// A call that asks for a slot of the local target.
struct slot_request {
    run_id id = 0;
    std::string route;
    bool nested = false;               ///< made by a target on behalf of a running request
    double priority = 0;               ///< rank plus a random part in [0, 1); the largest is shed first
    boot_duration time_left{};         ///< until the caller's time is over
    boot_duration latency_objective{}; ///< latency objective of the route
};

enum class slot_decision { start, wait, refuse };

/// A call in the queue beside the target.
struct waiting_call {
    slot_request request;
    boot_time_point arrived_at;
    boot_time_point start_by; ///< later it could not finish in time
    boot_time_point sort_key; ///< the earliest goes first
};

/// Decides which calls the local target runs at a time. It alone hands calls to the target, so it knows the
/// slots in use exactly.
struct concurrency_limiter {
    unsigned slots = 0;
    unsigned running = 0;
    std::vector<waiting_call> waiting;                   ///< sorted by order
    std::unordered_map<std::string, double> service_ms;  ///< mean time in the target by route
    std::unordered_map<std::string, double> baseline_ms; ///< slowly moving mean, the usual time
    double slowness = 1;
};

/// Calls that the gate hands over at a time. Less than all slots, since targets slow down when nearly full
/// and new connections and health checks take slots too.
unsigned usable_slots(const concurrency_limiter& limiter);

/// Decides on a call. For `start`, the slot is taken.
slot_decision request_slot(concurrency_limiter& limiter, const slot_request& request, boot_time_point now);

/// Gives back a slot after a call of a route that took so long; no time for a call that did not run to its
/// end.
void release_slot(concurrency_limiter& limiter, const std::string& route,
                  std::optional<boot_duration> service_time);

/// Takes calls out of the queue that may start now, and takes their slots.
std::vector<run_id> start_waiting(concurrency_limiter& limiter, boot_time_point now);

/// Takes calls out of the queue that can no longer finish in time.
std::vector<run_id> expire_waiting(concurrency_limiter& limiter, boot_time_point now);

/// Takes one call out of the queue. Returns whether it was there.
bool remove_waiting(concurrency_limiter& limiter, run_id id);

/// Returns the expected time of a route's call in the target.
boot_duration expected_service_time(const concurrency_limiter& limiter, const std::string& route);

/// Returns calls running and waiting over the usable slots.
double utilization(const concurrency_limiter& limiter);

} // namespace baobabswitch
