#pragma once

#include "eventloop.h"
#include "invariants.h"
#include "promises.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace caf {
class actor_system;
}

namespace baobabswitch {

struct promise_service_options {
    std::string domain;
    std::string self; ///< "<node>.<incarnation>"
    promise_limits limits;
    milliseconds flush_period{100}; ///< longest time that a call waits for its batch to be written
};

/// Manages the promises of one node: an actor on its own thread owns the promise table and makes the blocking
/// calls to the platform; the event loop calls the functions below, and callbacks run on the event loop.
class promise_service {
public:
    using run_callback = std::function<void(promise_item)>;

    /// `run` starts a claimed call on the event loop; its end is reported by report_outcome().
    promise_service(caf::actor_system& system, event_loop& loop, std::shared_ptr<object_store> store,
                    promise_service_options options, invariant_table& invariants, run_callback run);
    ~promise_service();
    promise_service(const promise_service&) = delete;
    promise_service& operator=(const promise_service&) = delete;
    promise_service(promise_service&&) = delete;
    promise_service& operator=(promise_service&&) = delete;

    /// Promises a call; the callback gets the result of writing it to the platform.
    void promise(promise_item item, std::function<void(promise_write)> on_written);
    /// Reports the outcome of a call that `run` was given.
    void report_outcome(std::string key, call_outcome outcome);
    /// Claims waiting calls, at most the given number per service, when capacity is spare.
    void claim_waiting(std::map<std::string, std::size_t> per_service);
    /// Adopts the batches of this failure domain whose holders are not among the live nodes.
    void adopt_orphaned_batches(std::set<std::string> live_nodes);
    /// Looks for the promise of a key in the platform.
    void find(std::string key, std::function<void(result<promise_item>)> on_found);
    /// Returns how many calls wait per service, as of the last change. Event loop thread only.
    const std::map<std::string, std::size_t>& waiting() const;
    /// Writes the open batch and the recorded outcomes, then calls back.
    void flush(std::function<void()> on_flushed);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
