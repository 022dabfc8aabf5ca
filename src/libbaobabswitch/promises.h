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

/// A call that was claimed this often does not wait again after its run, which bounds the retries that a
/// request causes. Adoption of a batch does not check this limit.
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
    std::size_t answer_bytes = 4 * 1024;   ///< longer answers are recorded without their body
    std::chrono::hours batch_retention{1}; ///< from creation, and at least until all calls ended
};

struct held_batch {
    promise_batch batch;
    std::uint64_t version = 0; ///< of the object; 0: it is unknown whether the object exists
    std::size_t bytes = 0;     ///< counted in promise_table::reserved_bytes
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

/// Adds a call to the open batch and reserves bytes for it. Fails with overloaded when the batch or the node
/// has reached a limit, and with too_large when the call's body is over promise_limits::item_bytes.
result<void> add_promise(promise_table& promises, promise_item item);

/// Result of write_open_batch().
struct batch_write_result {
    promise_write outcome = promise_write::not_stored;
    std::vector<std::string> keys; ///< of the calls in the batch
};

/// Writes the open batch as one object and empties it. Releases the reserved bytes if it is certainly not
/// stored. When the answer is lost, an empty batch is written under the same name on condition that no object
/// has it: if that succeeds, the first write had no effect and can have none later.
batch_write_result write_open_batch(promise_table& promises, object_store& store, std::uint64_t now_ms,
                                    invariant_table& invariants);

/// Claims up to `max_calls` waiting calls of a service, all from one batch, by a conditional write, and
/// returns the calls that this node must run now. They include calls that it claimed earlier and did not
/// start. Nothing is returned unless the store holds the claim.
std::vector<promise_item> claim_promises(promise_table& promises, object_store& store,
                                         std::string_view service, std::size_t max_calls,
                                         invariant_table& invariants);

/// Records the outcome of a claimed call; write_outcomes() writes it to the store.
void record_promise_outcome(promise_table& promises, std::string_view key, const call_outcome& outcome);

/// Writes recorded outcomes, marks waiting calls past their deadline as expired, and removes batches whose
/// calls have all ended and whose retention is over. Returns the keys of the calls that became expired.
std::vector<std::string> write_outcomes(promise_table& promises, object_store& store, std::uint64_t now_ms);

/// Makes this node the holder of a batch; the caller has checked that the present holder is no longer live.
/// Calls that the holder had claimed become unknown, or wait again if they are idempotent.
result<void> adopt_batch(promise_table& promises, object_store& store, const std::string& name);

/// Returns the holder "<node>.<incarnation>" under whose name a batch was created.
std::string batch_creator(std::string_view object_name);

/// Looks for the promise of a key in the store, under the name of the node that issued the key.
/// Fails with not_found, store_unavailable, malformed.
result<promise_item> find_promise(object_store& store, std::string_view key);

/// Returns the number of calls that this node may claim or start, by service.
std::map<std::string, std::size_t> waiting_services(const promise_table& promises);

} // namespace baobabswitch
