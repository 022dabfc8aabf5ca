#include "sharingservice.h"

#include "log.h"
#include "peermessages.h"
#include "sharing.h"
#include "targetside.h"
#include "wallclock.h"

#include <caf/all.hpp>

#include <chrono>
#include <tuple>

namespace baobabswitch {

/// A function that runs on the actor that owns the sharing state.
struct sharing_job {
    std::function<sharing_effects(sharing_state&)> fn;
};

/// A blocking call that runs on one of the detached actors.
struct platform_job {
    std::function<void()> fn;
};

} // namespace baobabswitch

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobabswitch::sharing_job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobabswitch::platform_job)

namespace baobabswitch {

namespace {

constexpr milliseconds gossip_timeout{500};
/// Longer than gossip_timeout, because a whole document has up to 1 MB.
constexpr milliseconds config_fetch_timeout{2000};

} // namespace

struct sharing_service::impl : std::enable_shared_from_this<sharing_service::impl> {
    impl(node_state& own_node, std::shared_ptr<object_store> objects)
        : node(own_node),
          store(std::move(objects)) {}

    /// Runs a function on the actor that owns the state; may be called from any thread.
    void submit(std::function<sharing_effects(sharing_state&)> fn) {
        caf::anon_send(owner_actor, sharing_job{std::move(fn)});
    }

    void run(const sharing_job& job);
    void execute(sharing_effects effects);
    void start_platform_calls(const sharing_effects& effects);
    void publish(bool new_config);
    void send_gossip(peer_message message);
    void send_fetch(const config_fetch& fetch);

    node_state& node;
    std::shared_ptr<object_store> store;
    sharing_state state; ///< accessed only by owner_actor once it runs
    std::uint64_t published_revision = 0;
    std::uint64_t reported_bytes = 0;
    member last_own_entry; ///< accessed only on the event loop's thread
    bool stopped = false;  ///< accessed only on the event loop's thread
    caf::actor owner_actor;
    caf::actor watch_actor;
    caf::actor status_actor;
};

namespace {

caf::behavior owner_behavior(caf::event_based_actor*, sharing_service::impl* it) {
    return {[it](const sharing_job& job) {
        it->run(job);
    }};
}

/// The impl argument is unused: without one, CAF 0.17 binds a reference to its empty argument tuple, which
/// UBSan reports.
caf::behavior platform_behavior(caf::event_based_actor*, sharing_service::impl*) {
    return {[](const platform_job& job) {
        job.fn();
    }};
}

} // namespace

void sharing_service::impl::run(const sharing_job& job) {
    auto effects = job.fn(state);
    const auto bytes = state.gossip.bytes_sent;
    node.metrics.count_control_bytes(bytes - std::exchange(reported_bytes, bytes));
    publish(effects.new_config);
    execute(std::move(effects));
}

void sharing_service::impl::publish(bool new_config) {
    if (state.gossip.revision != published_revision) {
        published_revision = state.gossip.revision;
        auto members = std::make_shared<const member_table>(state.gossip.members);
        node.loop.post([self = shared_from_this(), members] { apply_members(self->node, *members); });
    }
    if (new_config) {
        node.loop.post([self = shared_from_this(), config = state.config.in_force] {
            if (config->version < self->node.config->version) {
                return;
            }
            self->node.config = config;
            update_admission_limits(self->node);
            log(log_level::info, "configuration", "a configuration is in force",
                {{"version", std::to_string(config->version)}, {"digest", config->digest}});
        });
    }
}

void sharing_service::impl::execute(sharing_effects effects) {
    start_platform_calls(effects);
    if (effects.gossip.empty() && effects.fetches.empty()) {
        return;
    }
    node.loop.post([self = shared_from_this(), effects = std::move(effects)]() mutable {
        for (auto& it : effects.gossip) {
            self->send_gossip(std::move(it));
        }
        for (const auto& it : effects.fetches) {
            self->send_fetch(it);
        }
    });
}

void sharing_service::impl::send_gossip(peer_message message) {
    auto request = make_peer_request(node, "POST", "/n/gossip", {}, message.body);
    const auto to = message.to;
    node.peer_client.send(to, std::move(request), gossip_timeout,
                          [self = shared_from_this(), message = std::move(message)](http_result outcome) {
                              if (self->stopped) {
                                  return;
                              }
                              self->submit([message, outcome = std::move(outcome)](sharing_state& it) {
                                  const auto* response = std::get_if<http_response>(&outcome);
                                  if (response == nullptr || response->status != 200) {
                                      return on_gossip_failure(it, message, clock::now());
                                  }
                                  return on_gossip_answer(it, message, response->body, clock::now());
                              });
                          });
}

void sharing_service::impl::send_fetch(const config_fetch& fetch) {
    node.peer_client.send(fetch.from, make_peer_request(node, "GET", fetch.path, {}, ""),
                          config_fetch_timeout, [self = shared_from_this()](http_result outcome) {
                              if (self->stopped) {
                                  return;
                              }
                              self->submit([outcome = std::move(outcome)](sharing_state& it) {
                                  const auto* response = std::get_if<http_response>(&outcome);
                                  std::optional<std::string> body;
                                  if (response != nullptr && response->status == 200) {
                                      body = response->body;
                                  }
                                  return on_config_fetched(it, body, clock::now());
                              });
                          });
}

void sharing_service::impl::start_platform_calls(const sharing_effects& effects) {
    if (effects.poll) {
        caf::anon_send(watch_actor, platform_job{[this, call = *effects.poll] {
                           auto poll = poll_config(*store, call.revision, call.wait);
                           submit([poll = std::move(poll)](sharing_state& it) {
                               return on_config_polled(it, poll, clock::now());
                           });
                       }});
    }
    if (effects.status) {
        caf::anon_send(status_actor, platform_job{[this, call = *effects.status] {
                           submit([written = write_status(*store, call)](sharing_state& it) {
                               return on_status_written(it, written, clock::now());
                           });
                       }});
    }
    if (effects.read_bootstrap_peers) {
        caf::anon_send(status_actor, platform_job{[this] {
                           submit([peers = read_bootstrap_peers(*store)](sharing_state& it) {
                               return on_bootstrap_peers(it, peers, clock::now());
                           });
                       }});
    }
}

sharing_service::sharing_service(caf::actor_system& system, node_state& node,
                                 std::shared_ptr<object_store> store, nlohmann::json initial_document)
    : impl_(std::make_shared<impl>(node, std::move(store))) {
    auto& it = *impl_;
    it.last_own_entry = node.members.at(node.settings.node_id);
    it.state = make_sharing_state(it.last_own_entry, node.settings.seeds, it.store != nullptr,
                                  std::random_device{}(), node.invariants, clock::now());
    it.owner_actor = system.spawn(owner_behavior, impl_.get());
    it.watch_actor = system.spawn<caf::detached>(platform_behavior, impl_.get());
    it.status_actor = system.spawn<caf::detached>(platform_behavior, impl_.get());
    if (!initial_document.is_null()) {
        it.submit([document = std::move(initial_document)](sharing_state& state) {
            return apply_initial_document(state, document, clock::now());
        });
    }
}

sharing_service::~sharing_service() {
    impl_->stopped = true;
    caf::scoped_actor self{impl_->owner_actor.home_system()};
    // The detached actors send jobs to the owner, so they must end first.
    for (const auto* it : {&impl_->watch_actor, &impl_->status_actor, &impl_->owner_actor}) {
        self->send_exit(*it, caf::exit_reason::user_shutdown);
        self->wait_for(*it);
    }
}

void sharing_service::round() {
    impl_->submit([](sharing_state& it) { return sharing_round(it, wall_clock_ms(), clock::now()); });
}

void sharing_service::publish_own_entry() {
    const auto& own = impl_->node.members.at(impl_->node.settings.node_id);
    const auto published_fields = [](const member& it) {
        return std::tie(it.service, it.state, it.slots, it.address);
    };
    if (published_fields(own) == published_fields(impl_->last_own_entry)) {
        return;
    }
    impl_->last_own_entry = own;
    impl_->submit([own](sharing_state& it) { return change_own_entry(it, own, clock::now()); });
}

void sharing_service::stop_platform_calls() {
    impl_->submit([](sharing_state& it) {
        it.stopping = true;
        return sharing_effects{};
    });
}

void sharing_service::handle_gossip(const http_request& request,
                                    const std::shared_ptr<http_exchange>& exchange) {
    impl_->submit([self = impl_, body = request.body, exchange](sharing_state& it) {
        auto answer = on_gossip(it, body, clock::now());
        auto response = answer ? json_response(200, std::move(answer.value().body))
                               : json_response(400, error_body(answer.error()));
        if (!answer) {
            self->node.metrics.count_event(error_name(answer.error().kind));
        }
        self->node.loop.post([exchange, response = std::move(response)] { exchange->respond(response); });
        return answer ? std::move(answer.value().effects) : sharing_effects{};
    });
}

void sharing_service::handle_config(const http_request& request,
                                    const std::shared_ptr<http_exchange>& exchange) {
    const auto text = query_parameter(request.target, "have");
    const auto have = text ? parse_number(*text) : std::nullopt;
    impl_->submit([self = impl_, have, exchange](sharing_state& it) {
        auto answer = on_config_request(it, have, clock::now());
        auto response = answer ? json_response(200, std::move(answer.value()))
                               : json_response(404, error_body(answer.error()));
        self->node.loop.post([exchange, response = std::move(response)] { exchange->respond(response); });
        return sharing_effects{};
    });
}

void apply_members(node_state& node, const member_table& members) {
    auto own = node.members.at(node.settings.node_id);
    node.members = members;
    auto& entry = node.members[node.settings.node_id];
    own.version = std::max(own.version, entry.version);
    own.config_version = entry.config_version;
    entry = std::move(own);
    std::erase_if(node.target_choice.targets,
                  [&](const auto& it) { return !node.members.contains(it.first); });
    std::erase_if(node.probes.peers, [&](const auto& it) { return !node.members.contains(it.first); });
    const auto now = clock::now();
    update_targets(node.target_choice, node.members, now);
    send_due_probes(node, now);
}

void send_due_probes(node_state& node, time_point now) {
    for (const auto& it : due_probes(node.probes, now)) {
        const auto found = node.members.find(it);
        if (found == node.members.end()) {
            remove_peer(node.probes, it);
            continue;
        }
        node.metrics.count_control_bytes(request_overhead_bytes);
        node.peer_client.send(found->second.address, make_peer_request(node, "GET", "/n/ping", {}, ""),
                              probe_timeout, [&node, it](const http_result& outcome) {
                                  const auto* response = std::get_if<http_response>(&outcome);
                                  const bool answered =
                                      response != nullptr && response->status == 200 &&
                                      header_or_empty(response->headers, "Baobab-Node") == it;
                                  if (record_probe_result(node.probes, it, answered)) {
                                      node.metrics.count_event(answered ? "peer-back" : "peer-silent");
                                      update_targets(node.target_choice, node.members, clock::now());
                                      send_due_probes(node, clock::now());
                                  }
                              });
    }
    for (const auto& [name, it] : node.probes.peers) {
        if (const auto target = node.target_choice.targets.find(name);
            it.silent && target != node.target_choice.targets.end()) {
            target->second.available = false;
        }
    }
}

} // namespace baobabswitch
