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

/// Parsed idempotency key "<node>.<incarnation>.<n>.<mac>".
struct request_key {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
};

enum class key_state { issued, running, done, not_run, unknown, promised };

/// Returns "issued", "running", "done", "not-run", "unknown" or "promised".
std::string_view key_state_name(key_state state);

/// Counts attempts of a request that were sent and may have run.
struct attempt_tracker {
    unsigned unresolved = 0;
};

/// Records an attempt; must be called before its first byte is sent. A non-idempotent request may have at
/// most one unresolved attempt (invariant at_most_once).
void mark_sent(attempt_tracker& tracker, bool idempotent, invariant_table& invariants);

/// Records that an attempt is guaranteed not to have run.
void mark_not_run(attempt_tracker& tracker);

/// State of a request, held by the node that issued its key or, for a labelled child call, by its parent's
/// node.
struct key_record {
    key_state state = key_state::issued;
    std::uint64_t fingerprint = 0; ///< hash of kind, service, path and body; must match in a repeat
    unsigned repeats = 0;          ///< arrivals of the request after the first
    retry_ledger ledger;           ///< retry budget for all runs of the request; unused for child calls
    attempt_tracker attempts;
    call_outcome outcome;          ///< of the last run
    bool response_dropped = false; ///< the response was discarded by the size limit of retained responses
    time_point issued;
    /// Callbacks of repeats that wait for the running request, by waiter number.
    std::map<std::uint64_t, std::function<void(const call_outcome&)>> waiters;
    std::uint64_t last_waiter = 0;
    bool first_caller_disconnected = false;
    std::function<void()> cancel_run; ///< cancels the running request; set while it runs
};

/// A response that is retained for repeats.
struct retained_response {
    std::weak_ptr<key_record> record;
    std::size_t bytes = 0;
};

/// Records of the keys issued by this node, and the responses retained for repeats.
struct key_table {
    std::unordered_map<std::string, std::shared_ptr<key_record>> records;
    std::uint64_t last_serial = 0;
    time_point next_sweep;
    std::deque<retained_response> retained; ///< oldest first
    std::size_t retained_bytes = 0;
    std::size_t max_retained_bytes = std::size_t{16} * 1024 * 1024;
};

/// Issues a key. Fails with overloaded if the table is full; unexpired records are never evicted.
result<std::string> issue_key(key_table& table, std::string_view node, std::uint64_t incarnation,
                              const key_ring& ring, time_point now);

/// Parses a key and verifies its MAC. Fails with bad_key.
result<request_key> parse_key(std::string_view text, const key_ring& ring);

/// Removes expired keys, except those whose request is running. Sweeps at most every 5 s.
void expire_keys(key_table& table, time_point now);

/// Returns a hash of the kind, service, path and body, to detect that a key is reused for another request.
std::uint64_t request_fingerprint(const call_info& info);

enum class arrival_action {
    run,     ///< send the request
    wait,    ///< the request is running; share the response of that run
    respond, ///< respond with the given outcome; nothing is sent
};

struct arrival_decision {
    arrival_action action = arrival_action::respond;
    call_outcome outcome; ///< if action is respond
};

/// Decides what to do with an arriving request, and marks its record as running if it is to be sent. Each run
/// after the first consumes one retry from the ledger. If `accepting` is false, as on a draining node, no run
/// is started.
arrival_decision register_arrival(key_record& record, retry_ledger& ledger, std::uint64_t fingerprint,
                                  bool accepting, invariant_table& invariants);

/// Ends the run of a request: stores its outcome, and drops the oldest retained responses that exceed the
/// size limit. Returns the callbacks of the waiting repeats.
std::vector<std::function<void(const call_outcome&)>> end_run(key_table& table,
                                                              const std::shared_ptr<key_record>& record,
                                                              const call_outcome& outcome,
                                                              invariant_table& invariants);

/// Returns the outcome of a request from its record, to report to a repeat or an outcome query.
call_outcome recorded_outcome(const key_record& record);

/// Adds a waiting repeat and returns its number, or 0 if too many are waiting.
std::uint64_t add_waiter(key_record& record, std::function<void(const call_outcome&)> fn);

} // namespace baobabswitch
