#pragma once

#include "calltypes.h"
#include "invariants.h"
#include "objectstore.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// State of one promised call as stored in the platform.
enum class promise_state {
    waiting, ///< may be claimed
    claimed, ///< a node has committed to running it
    done,    ///< the target's answer is recorded
    unknown, ///< its claimant failed; it may have run
    expired, ///< not run within its patience
};

/// A promised call is claimed at most this often, which bounds the retries that a request causes.
inline constexpr unsigned max_promise_attempts = 8;

std::string_view promise_state_name(promise_state state);

/// A call that the system promised to run later.
struct promise_item {
    std::string key; ///< the caller's idempotency key
    std::string service;
    std::string path;
    std::string kind;
    std::string body;
    importance_level importance = 0;
    bool idempotent = true;
    std::uint64_t expires_ms = 0; ///< deadline for running it, ms since the epoch
    promise_state state = promise_state::waiting;
    unsigned attempts = 0; ///< claims so far
    std::string claimant;  ///< "<node>.<incarnation>", set while claimed and kept afterwards
    unsigned status = 0;   ///< HTTP status of the target's answer, if done
    std::string answer;    ///< body of the target's answer, if done and short enough
};

/// Promised calls that are stored as one object.
struct promise_batch {
    std::string holder; ///< "<node>.<incarnation>" that runs the batch
    std::uint64_t created_ms = 0;
    std::vector<promise_item> items;
};

nlohmann::json to_json(const promise_batch& batch);
/// Fails with malformed.
result<promise_batch> batch_from_json(std::string_view text);

/// Limits on the promises of one node.
struct promise_limits {
    std::size_t batch_bytes = 64 * 1024;
    std::size_t batch_items = 100;
    std::size_t node_bytes = 4 * 1024 * 1024; ///< of unfinished promises
    std::size_t item_bytes = 16 * 1024;
    std::size_t answer_bytes = 4 * 1024; ///< longer answers are recorded without their body
    std::chrono::hours batch_retention{1};
};

struct held_batch {
    promise_batch batch;
    std::uint64_t version = 0;
    std::size_t bytes = 0; ///< reserved for it
};

/// The promises that one node holds. Used by one thread, which may block on the store.
struct promise_table {
    std::string domain;
    std::string self; ///< "<node>.<incarnation>"
    promise_limits limits;
    std::vector<promise_item> open_items; ///< accepted into memory, not yet promised
    std::size_t open_bytes = 0;
    std::size_t reserved_bytes = 0; ///< of open and held batches
    std::uint64_t last_serial = 0;
    std::map<std::string, held_batch> held_batches; ///< by object name
    std::set<std::string> started_keys; ///< keys of the calls that this node has claimed and started
    std::map<std::string, promise_item> unwritten_outcomes; ///< outcomes not yet in the store, by key
};

/// Result of writing the open batch, as reported to its callers.
enum class promise_write { stored, not_stored, unknown };

/// Adds a call to the open batch. Reserves its bytes first; fails with overloaded when a bound is reached and
/// with too_large when the call can't be promised.
result<void> add_promise(promise_table& promises, promise_item item);

/// Writes the open batch as one object and empties it. Releases the reserved bytes if it is certainly not
/// stored. When the answer is lost, a conditional write of an empty batch under the same name settles whether
/// the first write took effect or still can.
struct batch_write_result {
    promise_write outcome = promise_write::not_stored;
    std::vector<std::string> keys;
};
batch_write_result write_open_batch(promise_table& promises, object_store& store, std::uint64_t now_ms,
                                    invariant_table& invariants);

/// Claims up to `max_calls` waiting calls of a service by a conditional write and returns those that this
/// node must run now. Nothing is returned unless the store holds the claim.
std::vector<promise_item> claim_promises(promise_table& promises, object_store& store,
                                         std::string_view service, std::size_t max_calls,
                                         invariant_table& invariants);

/// Records the outcome of a claimed call; write_outcomes() writes it to the store.
void record_promise_outcome(promise_table& promises, std::string_view key, const call_outcome& outcome);

/// Writes recorded outcomes and expiries, and removes batches that ended long ago. Returns the keys that
/// became expired.
std::vector<std::string> write_outcomes(promise_table& promises, object_store& store, std::uint64_t now_ms);

/// Takes over a batch whose holder is no longer live. Calls that the holder had claimed become unknown, or
/// wait again if they are idempotent.
result<void> adopt_batch(promise_table& promises, object_store& store, const std::string& name);

/// Returns the holder "<node>.<incarnation>" under whose name a batch was created.
std::string batch_creator(std::string_view object_name);

/// Looks for the promise of a key in the store, under the name of the node that issued the key.
/// Fails with not_found or store_unavailable.
result<promise_item> find_promise(object_store& store, std::string_view key);

/// Returns the services that have waiting calls, with their number.
std::map<std::string, std::size_t> waiting_services(const promise_table& promises);

} // namespace baobabswitch
