#include "meshnode.h"

#include "configspread.h"
#include "localruns.h"
#include "localtargetwatch.h"
#include "outboundcalls.h"
#include "peerstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabswitch {

namespace {

using nlohmann::json;

constexpr milliseconds tick_interval{50};
constexpr unsigned ticks_per_second = 20;
/// Ticks between two looks at the nodes that this one relies on to watch the configuration.
constexpr unsigned ticks_per_watch_check = 4;
/// Maximum wait for the store before the announcement of a leaving target is answered. Targets expect a
/// response within 1 s.
constexpr milliseconds max_acknowledgement_delay{500};
/// Minimum time from SIGTERM to the exit. Callers check readiness once a second and stop using the node after
/// two failed checks. After this time requests are refused, since a later one might not finish before
/// SIGKILL.
constexpr milliseconds min_stop_time{2600};
/// Times from SIGTERM at which the node publishes that its target accepts no new calls, and at which it
/// refuses new calls to the target. Both come late in the stop, since the target gets no new work for the
/// rest of it.
constexpr milliseconds withdraw_after{1400};
constexpr milliseconds refuse_runs_after{1900};
/// Time before SIGKILL at which the node exits even if calls are in flight. On a slow VM the exit itself
/// takes part of this time.
constexpr milliseconds stop_margin{600};
/// Time to flush the last responses.
constexpr milliseconds flush_time{50};
/// Connections to the target that its node leaves unused, for example for health checks.
constexpr std::size_t reserved_connections = 8;

/// Each of the two servers that carry calls may use 1 / memory_divisor of the VM's memory for bodies; see
/// also response_memory_divisor.
constexpr std::size_t memory_divisor = 4;
/// Retry-After value, in seconds, when there is no memory for a body. By then some bodies have been forwarded
/// and their memory is free again.
constexpr std::string_view memory_retry_after = "0.3";

http_server_options server_options(std::size_t memory_bytes) {
    http_server_options it;
    it.limits.header_bytes = 64 * 1024;
    it.limits.body_bytes = 64 * 1024 * 1024;
    it.limits.header_count = 128;
    it.max_buffered_body_bytes = memory_bytes / memory_divisor;
    it.on_read_error = [](http_read_error cause) {
        if (cause == http_read_error::body_memory_exhausted) {
            auto refusal = json_response(503, R"({"error":"memory-short"})");
            refusal.headers.emplace_back("Retry-After", memory_retry_after);
            return refusal;
        }
        const unsigned status = cause == http_read_error::header_too_large ? 431
                                : cause == http_read_error::body_too_large ? 413
                                : cause == http_read_error::timeout        ? 408
                                                                           : 400;
        return json_response(status, R"({"error":"malformed"})");
    };
    return it;
}

/// Sends the result of a call with the id of its request, by which the other node ties it to the call.
void send_hop_result(http_exchange& exchange, hop_result it, const std::string& id_header,
                     const std::string& request_id) {
    const auto text = encode_hop_result(it, boot_clock::now());
    auto response = std::move(it.response);
    if (it.outcome != hop_outcome::answered) {
        response = json_response(503, "{}");
    }
    if (!find_header(response.headers, id_header)) {
        response.headers.emplace_back(id_header, request_id);
    }
    response.headers.emplace_back(std::string{hop_header}, text);
    exchange.respond(std::move(response));
}

} // namespace

result<std::unique_ptr<mesh_node>> mesh_node::create(event_loop& loop, mesh_settings settings,
                                                     platform_port port,
                                                     std::unique_ptr<object_client> store) {
    auto it = std::make_unique<mesh_node>(loop, std::move(settings), std::move(port), std::move(store));
    if (const auto listening = it->listen(); !listening) {
        return listening.error();
    }
    it->store_sync_.start();
    it->last_tick_ = boot_clock::now();
    loop.schedule_every(tick_interval, [node = it.get()] { node->tick(); });
    it->state_.log.write_always("started", {{"service", it->state_.settings.service},
                                            {"domain", it->state_.settings.domain},
                                            {"first_start", it->state_.settings.first_start}});
    return it;
}

mesh_node::mesh_node(event_loop& loop, mesh_settings settings, platform_port port,
                     std::unique_ptr<object_client> store)
    : loop_(loop),
      state_(loop, std::move(settings), std::move(port)),
      store_(std::move(store)),
      store_sync_(state_, *store_) {
    loop.on_unexpected_error([this](std::string_view what) {
        state_.metrics.count_event("unexpected_error");
        state_.log.write("unexpected-error", {{"error", what}});
    });
    state_.on_newer_config = [this](const endpoint& peer) {
        store_sync_.fetch_config(peer);
    };
    state_.on_unconfigured_peer = [this](const endpoint& peer) {
        push_peer_state(state_, peer);
    };
}

mesh_node::~mesh_node() {
    loop_.on_unexpected_error(nullptr);
}

mesh_state& mesh_node::state() {
    return state_;
}

result<void> mesh_node::add_server(const endpoint& address, http_server_options options,
                                   http_server::handler handler) {
    auto it = http_server::listen(loop_, address, std::move(options), std::move(handler));
    if (!it) {
        return it.error();
    }
    servers_.push_back(std::move(it.value()));
    return success();
}

result<void> mesh_node::listen() {
    const auto& addresses = state_.settings.listen;
    const auto options = server_options(state_.settings.memory_bytes);
    BOOST_OUTCOME_TRYV(
        add_server(addresses.outbound, options,
                   [this](http_request request, const std::shared_ptr<http_exchange>& exchange) {
                       handle_outbound(state_, std::move(request), exchange);
                   }));
    outbound_ = servers_.back().get();
    BOOST_OUTCOME_TRYV(
        add_server(addresses.inbound, options,
                   [this](http_request request, const std::shared_ptr<http_exchange>& exchange) {
                       handle_inbound(std::move(request), exchange);
                   }));
    BOOST_OUTCOME_TRYV(
        add_server(addresses.control, options,
                   [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
                       handle_announcement(request, exchange);
                   }));
    BOOST_OUTCOME_TRYV(
        add_server(addresses.ready, options,
                   [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
                       handle_ready(request, *exchange);
                   }));
    return add_server(addresses.metrics, options,
                      [this](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
                          exchange->respond({200, {{"Content-Type", "text/plain"}}, state_.metrics.render()});
                      });
}

void mesh_node::handle_inbound(http_request request, const std::shared_ptr<http_exchange>& exchange) {
    if (path_of(request.target) == peer_state_path && !find_header(request.headers, hop_header)) {
        handle_peer_state(state_, request, *exchange);
        return;
    }
    if (path_of(request.target) == peer_config_path && !find_header(request.headers, hop_header)) {
        handle_peer_config(state_, request, *exchange);
        return;
    }
    const auto text = find_header(request.headers, hop_header);
    auto info = decode_hop_info(text.value_or(std::string_view{}));
    if (!info) {
        state_.metrics.count_event("malformed_hop");
        state_.log.write("hop-rejected",
                         {{"error", describe(info.error())}, {"from", exchange->remote_host()}});
        exchange->respond(json_response(400, R"({"error":"malformed"})"));
        return;
    }
    if (const auto sender = state_.targets.by_node.find(info.value().node);
        sender != state_.targets.by_node.end()) {
        note_heard(state_, sender->second, info.value().watches_config);
    }
    if (info.value().config_version > config_version(state_)) {
        if (const auto peer = find_peer(state_, exchange->remote_host())) {
            store_sync_.fetch_config(*peer);
        }
    }
    std::erase_if(request.headers, [](const auto& field) { return field.first == hop_header; });
    const auto ended = std::make_shared<bool>(false);
    const auto& id_header = state_.port.headers.request_id;
    const std::string request_id{header_or_empty(request.headers, id_header)};
    const auto id = start_local_run(state_, std::move(info.value()), std::move(request),
                                    [exchange, ended, &id_header, request_id](hop_result it) {
                                        *ended = true;
                                        send_hop_result(*exchange, std::move(it), id_header, request_id);
                                    });
    if (!*ended) {
        exchange->on_abandoned([this, id] { cancel_local_run(state_, id); });
    }
}

void mesh_node::handle_announcement(const http_request& request,
                                    const std::shared_ptr<http_exchange>& exchange) {
    auto decoded = state_.port.decode_announcement(request);
    if (!decoded) {
        state_.metrics.count_event("malformed_announcement");
        state_.log.write("announcement-rejected", {{"error", describe(decoded.error())}});
        exchange->respond(json_response(400, R"({"error":"malformed"})"));
        return;
    }
    const auto& it = decoded.value();
    if (!it.withdrawn && (it.address != state_.settings.target || it.service != state_.settings.service)) {
        state_.metrics.count_event("foreign_announcement");
        state_.log.write("announcement-foreign", {{"instance", it.instance}, {"service", it.service}});
        exchange->respond(json_response(400, R"({"error":"not the target of this node"})"));
        return;
    }
    const auto effect = apply_announcement(state_, it);
    if (effect == announcement_effect::none) {
        exchange->respond(json_response(200, "{}"));
        return;
    }
    if (effect != announcement_effect::leaving) {
        store_sync_.publish_own_entry([](bool) {});
        exchange->respond(json_response(200, "{}"));
        return;
    }
    // After a restart this node must know that the target left, so the response waits for the entry to be
    // stored.
    store_sync_.publish_own_entry([exchange](bool) { exchange->respond(json_response(200, "{}")); });
    loop_.schedule(max_acknowledgement_delay, [exchange] { exchange->respond(json_response(200, "{}")); });
}

void mesh_node::handle_ready(const http_request& request, http_exchange& exchange) {
    if (path_of(request.target) != state_.port.ready_path) {
        exchange.respond(json_response(404, "{}"));
        return;
    }
    const bool ready = state_.config && state_.targets_known && !state_.stopping;
    exchange.respond(json_response(ready ? 200 : 503, ready ? "{}" : R"({"error":"not ready"})"));
}

void mesh_node::apply_limits() {
    const auto version = config_version(state_);
    if (version == limits_version_) {
        return;
    }
    limits_version_ = version;
    const auto& limits = state_.config->config.limits;
    http_limits it;
    it.header_bytes = limits.header_bytes;
    it.body_bytes = limits.body_bytes;
    it.header_count = 128;
    outbound_->set_limits(it, limits.header_timeout, limits.idle_timeout);
    for (const auto& service : state_.config->config.services) {
        if (service.name == state_.settings.service && service.max_connections > reserved_connections) {
            state_.target_client->limit_connections(state_.settings.target,
                                                    service.max_connections - reserved_connections);
        }
    }
}

void mesh_node::update_gauges() {
    auto& it = state_.metrics;
    it.set_gauge("running", state_.limiter.running);
    it.set_gauge("waiting", static_cast<double>(state_.limiter.waiting.size()));
    it.set_gauge("admission_level", state_.level.level);
    it.set_gauge("processor_level", state_.processor_level.level);
    it.set_gauge("loop_delay_ms", to_ms(loop_delay_));
    it.set_gauge("slowness", state_.limiter.slowness);
    it.set_gauge("config_version", static_cast<double>(config_version(state_)));
    it.set_gauge("targets", static_cast<double>(state_.targets.by_node.size()));
    it.set_gauge("lost_nodes", static_cast<double>(count_lost_nodes(state_.targets)));
    it.set_gauge("watches_config", state_.watches_config ? 1 : 0);
    it.set_gauge("response_memory_bytes", static_cast<double>(state_.response_memory->held_bytes()));
    it.set_gauge("calls_in_flight", static_cast<double>(state_.calls.size()));
    it.set_gauge("invariant_violations", static_cast<double>(violations(state_.invariants)));
    it.set_gauge("store_connected", store_sync_.is_connected() ? 1 : 0);
    it.set_gauge("store_era", static_cast<double>(store_sync_.era()));
}

void mesh_node::tick() {
    const auto now = boot_clock::now();
    const auto elapsed = now - last_tick_;
    last_tick_ = now;
    loop_delay_ = min_recent_delay(loop_delays_, std::max(boot_duration{}, elapsed - tick_interval));
    tick_local_runs(state_, elapsed);
    update_level(state_.processor_level, utilization_of_delay(loop_delay_), elapsed);
    expire_outbound(state_);
    tick_verification(state_, [this] { store_sync_.publish_own_entry([](bool) {}); });
    apply_limits();
    state_.budget.nodes = static_cast<double>(std::max<std::size_t>(1, present_nodes(state_.targets, now)));
    if (++ticks_ % ticks_per_watch_check == 0) {
        store_sync_.reconsider_config_watch();
    }
    if (ticks_ % ticks_per_second == 0) {
        state_.log.report_suppressed();
        update_gauges();
        log_admission_level();
    }
    check_lost_nodes(state_);
}

void mesh_node::log_admission_level() {
    if (advertised_level(state_) >= state_.level.max_level) {
        return;
    }
    state_.log.write("admission-level", {{"level", state_.level.level},
                                         {"processor_level", state_.processor_level.level},
                                         {"loop_delay_ms", to_ms(loop_delay_)},
                                         {"open", state_.level.max_level},
                                         {"utilization", state_.level.utilization},
                                         {"running", state_.limiter.running},
                                         {"waiting", state_.limiter.waiting.size()},
                                         {"slots", state_.limiter.slots},
                                         {"slowness", state_.limiter.slowness}});
}

void mesh_node::reload(const mesh_settings& changed) {
    state_.settings.retries = changed.retries;
    state_.budget.bounds = changed.retries;
    state_.settings.stop_time = changed.stop_time;
    state_.settings.config_apply_time = changed.config_apply_time;
    state_.log.write_always("settings-reloaded", {{"retry_ratio", changed.retries.ratio},
                                                  {"retry_slack", changed.retries.slack},
                                                  {"stop_time_ms", to_ms(changed.stop_time)},
                                                  {"config_apply_ms", to_ms(changed.config_apply_time)}});
}

void mesh_node::stop() {
    if (state_.stopping) {
        return;
    }
    state_.stopping = true;
    stop_started_ = boot_clock::now();
    state_.stops_at = stop_started_ + state_.settings.stop_time - stop_margin;
    state_.log.write_always("stopping", {{"calls", state_.calls.size()}, {"runs", state_.runs.size()}});
    loop_.schedule(withdraw_after, [this] {
        state_.withdrawing = true;
        store_sync_.publish_own_entry([](bool) {});
    });
    loop_.schedule(refuse_runs_after, [this] {
        state_.refusing_runs = true;
        refuse_queued_runs(state_, "node-stopping");
    });
    loop_.schedule(min_stop_time, [this] { state_.refusing_requests = true; });
    if (state_.target.leaving) {
        store_sync_.remove_own_entry([] {});
    }
    stop_when_idle();
}

void mesh_node::stop_when_idle() {
    const auto elapsed = boot_clock::now() - stop_started_;
    const bool forced = boot_clock::now() >= state_.stops_at;
    // A connection may be busy without a call: its request is being read, or its response is being written.
    const bool idle = state_.calls.empty() && state_.runs.empty() && elapsed >= min_stop_time &&
                      std::all_of(servers_.begin(), servers_.end(),
                                  [](const auto& it) { return it->busy_connections() == 0; });
    const bool was_closing = closing_connections_;
    if ((idle || forced) && !closing_connections_) {
        // Requests that arrived on idle connections before these are closed are still answered.
        closing_connections_ = true;
        for (const auto& it : servers_) {
            it->stop_accepting();
        }
    }
    if (forced || (idle && was_closing)) {
        // Calls that came before callers were refused may outlast the stop, later ones were expected to end.
        const bool late_calls_ended =
            std::none_of(state_.calls.begin(), state_.calls.end(), [this](const auto& it) {
                return !it.second.answered && it.second.arrived_at - stop_started_ > min_stop_time;
            });
        check(state_.invariants, invariant::graceful_stop, late_calls_ended,
              "a call that came late in the stop was broken off");
        const auto broken_off = end_outbound(state_, "node-stopping");
        state_.log.write_always(
            "stopped",
            {{"calls", state_.calls.size()}, {"runs", state_.runs.size()}, {"broken_off", broken_off}});
        loop_.schedule(flush_time, [this] { loop_.stop(); });
        return;
    }
    loop_.schedule(tick_interval, [this] { stop_when_idle(); });
}

} // namespace baobabswitch
