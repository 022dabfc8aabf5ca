#include "promiseservice.h"

#include "log.h"
#include "wallclock.h"

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>

namespace baobabswitch {

/// Job for the actor thread, which owns the promise table.
struct promise_job {
    std::function<void(promise_service::impl&)> fn;
};

} // namespace baobabswitch

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobabswitch::promise_job)

namespace baobabswitch {

namespace {

constexpr std::size_t max_claims_per_write = 20;

using tick_atom = caf::atom_constant<caf::atom("tick")>;

} // namespace

struct promise_service::impl {
    impl(event_loop& events, std::shared_ptr<object_store> objects, promise_service_options opts,
         invariant_table& counts, run_callback start)
        : loop(events),
          store(std::move(objects)),
          options(std::move(opts)),
          invariants(counts),
          run(std::move(start)) {
        promises.domain = options.domain;
        promises.self = options.self;
        promises.limits = options.limits;
    }

    void publish_waiting();
    void tick();

    event_loop& loop;
    std::shared_ptr<object_store> store;
    promise_service_options options;
    invariant_table& invariants;
    run_callback run;
    promise_table promises; ///< actor thread only
    std::map<std::string, std::function<void(promise_write)>>
        callbacks;                              ///< by key, of the open batch; actor thread only
    std::map<std::string, std::size_t> waiting; ///< event loop thread only
    caf::actor actor;
};

void promise_service::impl::publish_waiting() {
    loop.post([this, services = waiting_services(promises)]() mutable { waiting = std::move(services); });
}

/// Writes the open batch and recorded outcomes.
void promise_service::impl::tick() {
    if (!promises.open_items.empty()) {
        const auto written = write_open_batch(promises, *store, wall_clock_ms(), invariants);
        for (const auto& key : written.keys) {
            if (const auto it = callbacks.find(key); it != callbacks.end()) {
                loop.post([fn = std::move(it->second), outcome = written.outcome] { fn(outcome); });
                callbacks.erase(it);
            }
        }
        publish_waiting();
    }
    if (!promises.held_batches.empty()) {
        const auto expired = write_outcomes(promises, *store, wall_clock_ms());
        for (const auto& key : expired) {
            log(log_level::warning, "promises", "a promised call was not run within its patience",
                {{"key", key}});
        }
        publish_waiting();
    }
}

namespace {

/// The actor that owns the promise table. Detached, because calls to the platform block.
caf::behavior promise_actor(caf::event_based_actor* self, promise_service::impl* state) {
    self->delayed_send(self, state->options.flush_period, tick_atom::value);
    return {
        [=](tick_atom) {
            state->tick();
            self->delayed_send(self, state->options.flush_period, tick_atom::value);
        },
        [=](const promise_job& job) { job.fn(*state); },
    };
}

} // namespace

promise_service::promise_service(caf::actor_system& system, event_loop& loop,
                                 std::shared_ptr<object_store> store, promise_service_options options,
                                 invariant_table& invariants, run_callback run)
    : impl_(std::make_shared<impl>(loop, std::move(store), std::move(options), invariants, std::move(run))) {
    impl_->actor = system.spawn<caf::detached>(promise_actor, impl_.get());
}

promise_service::~promise_service() {
    caf::scoped_actor self{impl_->actor.home_system()};
    // Writes the recorded outcomes before the actor exits; otherwise the node that adopts the batches would
    // treat these calls as unknown or run them again.
    self->send(impl_->actor, tick_atom::value);
    self->send_exit(impl_->actor, caf::exit_reason::user_shutdown);
    self->wait_for(impl_->actor);
}

void promise_service::promise(promise_item item, std::function<void(promise_write)> on_written) {
    promise_job job{[item = std::move(item), fn = std::move(on_written)](impl& it) mutable {
        const auto key = item.key;
        if (!add_promise(it.promises, std::move(item))) {
            it.loop.post([fn = std::move(fn)] { fn(promise_write::not_stored); });
            return;
        }
        it.callbacks[key] = std::move(fn);
    }};
    caf::anon_send(impl_->actor, std::move(job));
}

void promise_service::report_outcome(std::string key, call_outcome outcome) {
    caf::anon_send(impl_->actor, promise_job{[key = std::move(key), outcome = std::move(outcome)](impl& it) {
                       record_promise_outcome(it.promises, key, outcome);
                   }});
}

void promise_service::claim_waiting(std::map<std::string, std::size_t> per_service) {
    caf::anon_send(impl_->actor, promise_job{[per_service = std::move(per_service)](impl& it) {
                       for (const auto& [service, max_calls] : per_service) {
                           auto claimed =
                               claim_promises(it.promises, *it.store, service,
                                              std::min(max_calls, max_claims_per_write), it.invariants);
                           for (auto& item : claimed) {
                               it.loop.post([run = it.run, item = std::move(item)] { run(item); });
                           }
                       }
                       it.publish_waiting();
                   }});
}

void promise_service::adopt_orphaned_batches(std::set<std::string> live_nodes) {
    caf::anon_send(
        impl_->actor, promise_job{[live_nodes = std::move(live_nodes)](impl& it) {
            const auto names = it.store->list("promises/" + it.options.domain + "/");
            if (!names) {
                return;
            }
            for (const auto& object : names.value().objects) {
                if (it.promises.held_batches.contains(object.name)) {
                    continue;
                }
                const auto stored = it.store->get(object.name);
                const auto batch = stored ? batch_from_json(stored.value().value)
                                          : result<promise_batch>{error{error_kind::not_found, "", ""}};
                if (!batch || live_nodes.contains(batch.value().holder)) {
                    continue;
                }
                if (const auto adopted = adopt_batch(it.promises, *it.store, object.name); adopted) {
                    log(log_level::info, "promises",
                        "adopted a batch of promises whose holder is no longer live",
                        {{"batch", object.name}, {"holder", batch.value().holder}});
                }
            }
            it.publish_waiting();
        }});
}

void promise_service::find(std::string key, std::function<void(result<promise_item>)> on_found) {
    caf::anon_send(impl_->actor, promise_job{[key = std::move(key), fn = std::move(on_found)](impl& it) {
                       it.loop.post([fn, found = find_promise(*it.store, key)] { fn(found); });
                   }});
}

const std::map<std::string, std::size_t>& promise_service::waiting() const {
    return impl_->waiting;
}

void promise_service::flush(std::function<void()> on_flushed) {
    caf::anon_send(impl_->actor, promise_job{[fn = std::move(on_flushed)](impl& it) {
                       it.tick();
                       it.loop.post(fn);
                   }});
}

} // namespace baobabswitch
