#pragma once

#include "calltypes.h"
#include "invariants.h"
#include "mac.h"
#include "retryledger.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabswitch {

/// Parts of an idempotency key "<node>.<incarnation>.<n>.<mac>".
struct request_key {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
};

enum class key_state { issued, running, done, not_run, unknown, promised };

/// Returns "issued", "running", "done", "not-run", "unknown" or "promised".
std::string_view key_state_name(key_state state);

/// Attempts of a request that were sent and are not known not to have run.
struct attempt_tracker {
    unsigned unresolved = 0;
};

/// Marks an attempt as sent; to be called before its first byte leaves. At most one attempt of a
/// non-idempotent request may be open (invariant at_most_once).
void mark_sent(attempt_tracker& tracker, bool idempotent, invariant_table& invariants);

/// Clears the mark of an attempt that certainly did not run.
void mark_not_run(attempt_tracker& tracker);

/// What the node that issued a key, or the node beside a parent call, knows about a request.
struct key_record {
    key_state state = key_state::issued;
    std::uint64_t fingerprint = 0; ///< of kind, path and body; a repeat must have the same
    unsigned repeats = 0;
    retry_ledger ledger; ///< budget of the request over all its runs; unused for child calls
    attempt_tracker attempts;
    call_outcome outcome; ///< of the last run
    bool answer_dropped = false;
    time_point issued;
    /// Repeats that wait for the running request, by waiter number.
    std::map<std::uint64_t, std::function<void(const call_outcome&)>> waiters;
    std::uint64_t last_waiter = 0;
    bool first_caller_disconnected = false;
    std::function<void()> cancel_run; ///< gives up the running request; set while it runs
};

/// An answer that is kept for repeats.
struct retained_answer {
    std::weak_ptr<key_record> record;
    std::size_t bytes = 0;
};

/// Records of the keys that this node issued, and the answers kept for repeats.
struct key_table {
    std::unordered_map<std::string, std::shared_ptr<key_record>> records;
    std::uint64_t last_serial = 0;
    time_point next_sweep;
    std::deque<retained_answer> retained; ///< oldest first
    std::size_t retained_bytes = 0;
    std::size_t max_retained_bytes = std::size_t{16} * 1024 * 1024;
};

/// Issues a key. Fails with overloaded when the table is full; records are never dropped to make room.
result<std::string> issue_key(key_table& table, std::string_view node, std::uint64_t incarnation,
                              const key_ring& ring, time_point now);

/// Parses a key and checks that a node of this system issued it. Fails with bad_key.
result<request_key> parse_key(std::string_view text, const key_ring& ring);

/// Forgets keys past their lifetime, but none whose request is running. Does so at most every 5 s.
void expire_keys(key_table& table, time_point now);

/// Returns a digest of what makes two calls with one key the same request.
std::uint64_t request_fingerprint(const call_info& info);

enum class arrival_action {
    run,    ///< send the request
    wait,   ///< the request is running; its answer serves this arrival too
    answer, ///< the outcome is given; nothing is sent
};

struct arrival_decision {
    arrival_action action = arrival_action::answer;
    call_outcome outcome; ///< if action is answer
};

/// Decides about an arrival of a request and starts its record's run if it may run. A run after the first
/// takes one retry from the ledger. While `accepting` is false (the node drains), no run is started.
arrival_decision register_arrival(key_record& record, retry_ledger& ledger, std::uint64_t fingerprint,
                                  bool accepting, invariant_table& invariants);

/// Ends the run of a request: keeps its outcome, and drops the oldest kept answers past the bound. Returns
/// the repeats that waited.
std::vector<std::function<void(const call_outcome&)>> end_run(key_table& table,
                                                              const std::shared_ptr<key_record>& record,
                                                              const call_outcome& outcome,
                                                              invariant_table& invariants);

/// Returns what a repeat is told about a request that is not running.
call_outcome recorded_outcome(const key_record& record);

/// Adds a repeat that waits; returns its number, or 0 when too many wait.
std::uint64_t add_waiter(key_record& record, std::function<void(const call_outcome&)> fn);

} // namespace baobabswitch
