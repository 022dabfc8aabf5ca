#include "simulation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabswitch::simulation {

namespace {

using std::chrono::seconds;

constexpr milliseconds exchange_timeout{500};
constexpr milliseconds poll_step{200};

endpoint address_of(std::size_t n) {
    return {"127.0." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1), 7400};
}

std::size_t vm_at(const endpoint& address) {
    const auto last = address.host.rfind('.');
    const auto middle = address.host.rfind('.', last - 1);
    return std::stoul(address.host.substr(middle + 1, last - middle - 1)) * 200 +
           std::stoul(address.host.substr(last + 1)) - 1;
}

std::string domain_name(std::size_t n) {
    return "domain-" + std::to_string(n);
}

} // namespace

fleet::fleet(std::uint64_t seed, std::size_t nodes, std::size_t domains)
    : rng(seed),
      now(time_point{} + std::chrono::hours{1}),
      domains_(domains) {
    for (std::size_t n = 0; n < nodes; ++n) {
        vms.push_back(std::make_unique<vm>());
        vms.back()->domain = n % domains;
    }
    store.on_call = [this](auto, auto) {
        return platform_unavailable ? store_fault::unavailable : store_fault::none;
    };
}

member fleet::own_entry(std::size_t n, const std::string& id) const {
    member own;
    own.node = id;
    own.incarnation = incarnation_;
    own.version = 1;
    own.address = address_of(n);
    own.domain = domain_name(n % domains_);
    return own;
}

void fleet::start(std::size_t n) {
    replace(n, false);
}

void fleet::replace(std::size_t n, bool new_id) {
    auto& it = *vms.at(n);
    ++incarnation_;
    const auto& old_id = it.state.gossip.self;
    const auto id = new_id || old_id.empty()
                        ? "node-" + std::to_string(n) + "-" + std::to_string(incarnation_ % 10000)
                        : old_id;
    // The seeds are the first two VMs of each domain, as in a deployment.
    std::vector<endpoint> seeds;
    for (std::size_t domain = 0; domain < 2 * domains_ && domain < vms.size(); ++domain) {
        seeds.push_back(address_of(domain));
    }
    ++it.run_id;
    it.running = true;
    it.announced = false;
    it.paused_until = {};
    it.started_at = now;
    it.last_members.clear();
    it.last_config_version = 0;
    it.config_answer_bytes = 0;
    it.state = make_sharing_state(own_entry(n, id), std::move(seeds), true, rng(), invariants, now);
    schedule_on_vm(n, it.run_id, milliseconds{rng() % 1000}, [this, n, run_id = it.run_id](vm&) {
        set_state(n, target_state::up);
        round(n, run_id);
    });
}

void fleet::stop(std::size_t n) {
    ++vms.at(n)->run_id;
    vms.at(n)->running = false;
}

void fleet::pause(std::size_t n, duration time) {
    vms.at(n)->paused_until = now + time;
}

void fleet::set_state(std::size_t n, target_state state) {
    auto& it = *vms.at(n);
    if (!it.running) {
        return;
    }
    auto own = it.state.gossip.members.at(it.state.gossip.self);
    own.service = "service";
    own.slots = 10;
    own.state = state;
    execute(n, change_own_entry(it.state, own, now));
}

std::uint64_t fleet::publish() {
    const bool was_unavailable = std::exchange(platform_unavailable, false);
    ++published;
    const nlohmann::json document{
        {"schema", 1},
        {"kinds", nlohmann::json::object()},
        {"services",
         {{"service-" + std::to_string(published), {{"slots", 1}, {"connections", 1}, {"queue", 0}}}}}};
    const nlohmann::json object{
        {"version", published}, {"digest", document_digest(document)}, {"document", document}};
    const auto known = store.get(config_object);
    (void)store.put(config_object, object.dump(), known ? known.value().version : 0);
    platform_unavailable = was_unavailable;
    return published;
}

void fleet::prefill() {
    auto rows = nlohmann::json::array();
    for (std::size_t n = 0; n < vms.size(); ++n) {
        set_state(n, target_state::up);
        const auto& gossip = vms.at(n)->state.gossip;
        rows.push_back(to_json(gossip.members.at(gossip.self)));
    }
    const auto message = nlohmann::json{{"f", "prefill"}, {"m", rows}}.dump();
    for (auto& it : vms) {
        (void)receive_gossip(it->state.gossip, message, now);
        for (auto& [node, contact] : it->state.gossip.contacts) {
            contact.entry_send_count = contact.config_send_count = 1000;
        }
    }
}

void fleet::run(duration time) {
    const auto end = now + time;
    while (!events_.empty() && events_.top().at <= end) {
        auto next = events_.top();
        events_.pop();
        now = next.at;
        next.run();
    }
    now = end;
}

void fleet::schedule(duration delay, std::function<void()> fn) {
    events_.push({now + delay, ++order_, std::move(fn)});
}

void fleet::schedule_on_vm(std::size_t n, unsigned run_id, duration delay, std::function<void(vm&)> fn) {
    schedule(delay, [this, n, run_id, fn = std::move(fn)] {
        auto& it = *vms.at(n);
        if (it.run_id != run_id || !it.running) {
            return;
        }
        if (now < it.paused_until) {
            schedule_on_vm(n, run_id, it.paused_until - now, fn);
            return;
        }
        fn(it);
    });
}

void fleet::round(std::size_t n, unsigned run_id) {
    auto& it = *vms.at(n);
    execute(n, sharing_round(it.state, 0, now));
    schedule_on_vm(n, run_id, seconds{1}, [this, n, run_id](vm&) { round(n, run_id); });
}

bool fleet::delivers(std::size_t from, std::size_t to) {
    return !cut_domains.contains({vms.at(from)->domain, vms.at(to)->domain}) &&
           !cut_vms.contains({from, to}) && std::uniform_real_distribution<double>{}(rng) >= loss_probability;
}

duration fleet::delay() {
    // One message in fifty is delayed by up to 700 ms, which may exceed the exchange timeout.
    return rng() % 50 == 0 ? milliseconds{rng() % 700} : milliseconds{1 + rng() % 10};
}

void fleet::exchange(std::size_t from, const endpoint& to,
                     std::function<std::optional<std::string>(std::size_t)> handle,
                     std::function<void(vm&, const std::string&)> answered, std::function<void(vm&)> failed) {
    const auto peer = vm_at(to);
    const auto run_id = vms.at(from)->run_id;
    auto ended = std::make_shared<bool>(false);
    schedule_on_vm(from, run_id, exchange_timeout, [ended, failed = std::move(failed)](vm& it) {
        if (!std::exchange(*ended, true)) {
            failed(it);
        }
    });
    if (peer >= vms.size() || !vms.at(peer)->running || !delivers(from, peer)) {
        return;
    }
    schedule_on_vm(
        peer, vms.at(peer)->run_id, delay(),
        [this, from, peer, run_id, ended, handle = std::move(handle), answered = std::move(answered)](vm&) {
            auto body = handle(peer);
            if (body && delivers(peer, from)) {
                schedule_on_vm(from, run_id, delay(), [ended, answered, body = std::move(*body)](vm& it) {
                    if (!std::exchange(*ended, true)) {
                        answered(it, body);
                    }
                });
            }
        });
}

void fleet::execute(std::size_t n, sharing_effects effects) {
    const auto run_id = vms.at(n)->run_id;
    for (auto& message : effects.gossip) {
        exchange(
            n, message.to,
            [this, body = message.body](std::size_t peer) -> std::optional<std::string> {
                auto answer = on_gossip(vms.at(peer)->state, body, now);
                if (!answer) {
                    return std::nullopt;
                }
                execute(peer, std::move(answer.value().effects));
                return std::move(answer.value().body);
            },
            [this, n, message](vm& it, const std::string& body) {
                execute(n, on_gossip_answer(it.state, message, body, now));
            },
            [this, n, message](vm& it) { execute(n, on_gossip_failure(it.state, message, now)); });
    }
    for (const auto& fetch : effects.fetches) {
        exchange(
            n, fetch.from,
            [this, path = fetch.path](std::size_t peer) -> std::optional<std::string> {
                const auto have = query_parameter(path, "have");
                auto answer =
                    on_config_request(vms.at(peer)->state, have ? parse_number(*have) : std::nullopt, now);
                if (!answer) {
                    return std::nullopt;
                }
                vms.at(peer)->config_answer_bytes += answer.value().size() + answer_overhead_bytes;
                return std::move(answer.value());
            },
            [this, n](vm& it, const std::string& body) {
                execute(n, on_config_fetched(it.state, body, now));
            },
            [this, n](vm& it) { execute(n, on_config_fetched(it.state, std::nullopt, now)); });
    }
    if (effects.poll) {
        poll(n, run_id, *effects.poll, now + effects.poll->wait);
    }
    const auto platform_reachable = [this, n] {
        return !platform_unavailable && !cut_from_platform.contains(vms.at(n)->domain);
    };
    if (effects.status) {
        schedule_on_vm(n, run_id, delay(), [this, n, platform_reachable, call = *effects.status](vm& it) {
            const auto written = platform_reachable() ? write_status(store, call)
                                                      : status_write_result{false, call.if_version};
            execute(n, on_status_written(it.state, written, now));
        });
    }
    if (effects.read_bootstrap_peers) {
        schedule_on_vm(n, run_id, delay(), [this, n, platform_reachable](vm& it) {
            const auto peers =
                platform_reachable()
                    ? read_bootstrap_peers(store)
                    : result<std::vector<endpoint>>{error{error_kind::store_unavailable, "cut off", "wait"}};
            execute(n, on_bootstrap_peers(it.state, peers, now));
        });
    }
}

void fleet::poll(std::size_t n, unsigned run_id, config_poll_call call, time_point until) {
    schedule_on_vm(
        n, run_id, call.revision == 0 ? delay() : poll_step, [this, n, run_id, call, until](vm& it) {
            const bool unreachable = cut_from_platform.contains(it.domain);
            const auto polled =
                unreachable ? result<config_poll>{error{error_kind::store_unavailable, "cut off", "wait"}}
                            : poll_config(store, call.revision, milliseconds{0});
            if (polled && !polled.value().value && call.revision != 0 && now < until) {
                poll(n, run_id, call, until);
                return;
            }
            execute(n, on_config_polled(it.state, polled, now));
        });
}

std::string fleet::divergence() const {
    for (const auto& it : vms) {
        if (!it->running) {
            continue;
        }
        const auto& gossip = it->state.gossip;
        if (gossip.config.version != published) {
            return gossip.self + " has version " + std::to_string(gossip.config.version);
        }
        std::size_t live = 0;
        for (const auto& [node, entry] : gossip.members) {
            live += entry.state != target_state::down ? 1 : 0;
        }
        for (const auto& peer : vms) {
            if (!peer->running) {
                continue;
            }
            --live;
            const auto& own = peer->state.gossip.members.at(peer->state.gossip.self);
            const auto entry = gossip.members.find(own.node);
            if (entry == gossip.members.end()) {
                return gossip.self + " does not know " + own.node;
            }
            if (entry->second.state != own.state || entry->second.incarnation != own.incarnation) {
                return gossip.self + " lists " + own.node + " as " +
                       std::string{target_state_name(entry->second.state)};
            }
        }
        if (live != 0) {
            return gossip.self + " lists a live VM that is not running";
        }
    }
    return "";
}

std::string fleet::violation() {
    if (violations(invariants) != 0) {
        return "an invariant is violated";
    }
    for (auto& it : vms) {
        if (!it->running) {
            continue;
        }
        const auto& gossip = it->state.gossip;
        for (const auto& [node, before] : it->last_members) {
            const auto entry = gossip.members.find(node);
            if (entry != gossip.members.end() && is_newer(before, entry->second)) {
                return gossip.self + " returned to an older entry of " + node;
            }
        }
        it->last_members = gossip.members;
        if (gossip.config.version < it->last_config_version) {
            return gossip.self + " reverted to version " + std::to_string(gossip.config.version);
        }
        it->last_config_version = gossip.config.version;
        const std::chrono::duration<double> uptime = now - it->started_at;
        const auto bytes = static_cast<double>(gossip.bytes_sent - it->config_answer_bytes);
        if (bytes > control_bytes_per_second * (uptime.count() + 1.5)) {
            return gossip.self + " sent " + std::to_string(bytes) + " bytes in " +
                   std::to_string(uptime.count()) + " s";
        }
    }
    return "";
}

} // namespace baobabswitch::simulation
