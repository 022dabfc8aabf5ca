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

/// What admission needs to know about a call.
struct admission_entry {
    std::string call;
    std::string kind;
    importance_level importance = 0;
    unsigned depth = 0;
    bool cancellable = true;
    time_point deadline;
    std::uint64_t arrival = 0; ///< order of arrival, set by submit_call()
    double expected_ms = 0;    ///< learnt service time; 0 if unknown
    bool is_long = false;      ///< of a kind that is long for this target
};

/// Bounds in force at the local target.
struct admission_limits {
    std::size_t slots = 1;        ///< calls that run at the same time
    std::size_t queue = 0;        ///< calls that wait
    bool fifo = false;            ///< baseline: order of arrival, no eviction, no cancellation
    std::size_t long_reserve = 0; ///< slots that long calls leave free for short ones
};

/// Sorts waiting calls: more important first, then furthest along, then earliest.
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

/// Calls that run at or wait for the target beside this node.
struct admission_table {
    admission_limits limits;
    std::unordered_map<std::string, admission_entry> running;
    std::unordered_map<std::string, admission_entry> cancelling; ///< running, and told to stop
    std::map<queue_order, admission_entry> waiting;
    std::uint64_t arrivals = 0;
};

enum class admission_verdict { run, queued, refused };

/// What submit_call() decided; the caller of submit_call() carries it out.
struct admission_decision {
    admission_verdict verdict = admission_verdict::refused;
    std::vector<std::string> evicted; ///< waiting calls that made room: tell their senders "not run"
    std::vector<std::string> cancel;  ///< running calls to cancel at the target
    std::string reason;               ///< for the log, if refused: what runs and waits
};

/// What became of waiting calls when slots came free or time passed.
struct queue_changes {
    std::vector<std::string> start;   ///< hand these to the target now
    std::vector<std::string> expired; ///< tell their senders "not run"
};

/// Decides about a new call.
admission_decision submit_call(admission_table& table, admission_entry entry, time_point now,
                               invariant_table& invariants);

/// Removes a call that ended or was given up, running or waiting, and starts what may start.
queue_changes remove_call(admission_table& table, std::string_view call, time_point now);

/// Removes waiting calls that can't complete in time any more and starts what may start.
queue_changes advance_queue(admission_table& table, time_point now);

/// Takes over which kinds are long; call it when service times were learnt.
void classify_calls(admission_table& table, const std::set<std::string, std::less<>>& long_kinds);

/// Tells whether a waiting call could start in the present state; after each function above none can.
bool can_start(const admission_table& table, const admission_entry& entry);

/// Returns how long a new call would wait in the queue, in milliseconds.
double expected_wait_ms(const admission_table& table, const admission_entry& entry);

} // namespace baobabswitch
