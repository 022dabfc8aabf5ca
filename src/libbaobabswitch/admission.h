#pragma once

#include "calltypes.h"
#include "invariants.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

/// The properties of a call that admission control uses.
struct admission_entry {
    std::string call;
    std::string kind;
    importance_level importance = 0;
    unsigned depth = 0;
    bool cancellable = true;
    time_point deadline;
    std::uint64_t arrival = 0; ///< order of arrival, set by submit_call()
    double expected_ms = 0;    ///< estimated service time; 0 if unknown
    bool is_long = false;      ///< its kind is long-running at this target
};

/// Limits in effect for the local target.
struct admission_limits {
    std::size_t slots = 1;         ///< maximum number of running calls
    std::size_t queue = 0;         ///< maximum number of waiting calls
    bool fifo = false;             ///< baseline policy: first in, first out, without eviction or cancellation
    std::size_t short_reserve = 0; ///< slots reserved for short calls
};

/// Sort key of waiting calls: descending importance, descending depth in the call graph, then arrival order.
struct queue_order {
    importance_level importance = 0;
    unsigned depth = 0;
    std::uint64_t arrival = 0;
    friend bool operator<(const queue_order& a, const queue_order& b) {
        if (a.importance != b.importance) {
            return a.importance > b.importance;
        }
        if (a.depth != b.depth) {
            return a.depth > b.depth;
        }
        return a.arrival < b.arrival;
    }
};

/// Calls that are running at or queued for the local target.
struct admission_table {
    admission_limits limits;
    std::unordered_map<std::string, admission_entry> running;
    std::unordered_map<std::string, admission_entry> cancelling; ///< running, cancellation requested
    std::map<queue_order, admission_entry> waiting;
    std::uint64_t arrivals = 0; ///< number of submitted calls; source of admission_entry::arrival
};

enum class admission_verdict { run, queued, refused };

/// Decision of submit_call(), to be carried out by its caller.
struct admission_decision {
    admission_verdict verdict = admission_verdict::refused;
    std::vector<std::string> evicted; ///< waiting calls removed from the queue; their outcome is "not run"
    std::vector<std::string> cancel;  ///< running calls to cancel at the target
    std::string reason;               ///< current load, logged if the call is refused
};

/// Changes to the queue after slots became free or deadlines passed.
struct queue_changes {
    std::vector<std::string> start;   ///< calls to send to the target now
    std::vector<std::string> expired; ///< calls that can no longer meet their deadline; outcome "not run"
};

/// Runs, queues or refuses a new call.
admission_decision submit_call(admission_table& table, admission_entry entry, time_point now,
                               invariant_table& invariants);

/// Removes a completed or abandoned call, running or waiting, and starts waiting calls that fit.
queue_changes remove_call(admission_table& table, std::string_view call, time_point now);

/// Removes waiting calls that can no longer meet their deadline and starts waiting calls that fit.
queue_changes advance_queue(admission_table& table, time_point now);

/// Updates which calls are of long-running kinds; to be called after service times were updated.
void classify_calls(admission_table& table, const std::set<std::string, std::less<>>& long_kinds);

/// Returns whether a call could start now. After remove_call() and advance_queue(), no waiting call can.
bool can_start(const admission_table& table, const admission_entry& entry);

/// Returns the estimated queue wait of a new call in milliseconds.
double expected_wait_ms(const admission_table& table, const admission_entry& entry);

} // namespace baobabswitch
