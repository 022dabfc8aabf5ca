#include "node.h"

#include "entry.h"
#include "files.h"
#include "jsontext.h"
#include "keyowner.h"
#include "log.h"
#include "peermessages.h"
#include "promisedcalls.h"
#include "sharingservice.h"
#include "targetside.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

namespace {

constexpr milliseconds tick_period{100};
constexpr std::chrono::seconds gossip_period{1};
/// Minimum time from the start of a drain to the exit, so that other nodes learn of the drain before
/// connections to this node fail.
constexpr milliseconds min_drain_time{1000};
/// Time allowed for sending the last responses.
constexpr milliseconds final_response_delay{100};

constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_header_too_large = 431;

error read_error(http_read_error kind) {
    switch (kind) {
    case http_read_error::header_too_large:
        return {error_kind::too_large, "the request's headers are too large",
                "send at most 64 headers and 16 KiB"};
    case http_read_error::body_too_large:
        return {error_kind::too_large, "the request's body is too large",
                "send a smaller body; the limit is limits.body_bytes"};
    case http_read_error::timeout:
        return {error_kind::timeout, "the request was not received within the read timeout",
                "send it without pauses"};
    case http_read_error::body_memory_exhausted:
        return {error_kind::overloaded, "the memory limit for request bodies is reached", "retry later"};
    case http_read_error::malformed:
        break;
    }
    return {error_kind::malformed, "the request is not valid HTTP/1.1", "check the client"};
}

} // namespace

result<std::unique_ptr<node>> node::create(event_loop& loop, node_settings settings,
                                           invariant_table& invariants, node_metrics& metrics) {
    const auto listen = settings.listen;
    auto it = std::make_unique<node>(loop, std::move(settings), invariants, metrics);
    auto config = std::make_shared<configuration>();
    if (!it->state_.settings.initial_document.empty()) {
        const auto text = read_file(it->state_.settings.initial_document);
        if (!text) {
            return text.error();
        }
        auto parsed = parse_configuration(text.value());
        if (!parsed) {
            return parsed.error();
        }
        *config = std::move(parsed.value());
    }
    it->state_.config = std::move(config);
    http_server_options options;
    options.limits = it->state_.settings.limits;
    options.max_connections = it->state_.settings.max_connections;
    options.on_read_error = [&metrics](http_read_error kind) {
        auto cause = read_error(kind);
        metrics.count_event(error_name(cause.kind));
        call_outcome outcome;
        outcome.kind = outcome_kind::not_run;
        outcome.cause = std::move(cause);
        auto response = make_caller_response(std::move(outcome), "");
        if (kind == http_read_error::header_too_large) {
            response.status = status_header_too_large;
        } else if (kind == http_read_error::timeout) {
            response.status = status_request_timeout;
        }
        return response;
    };
    auto server = http_server::listen(
        loop, listen, std::move(options),
        [raw = it.get()](http_request request, const std::shared_ptr<http_exchange>& exchange) {
            raw->dispatch(std::move(request), exchange);
        });
    if (!server) {
        return server.error();
    }
    it->server_ = std::move(server.value());
    update_own_entry(it->state_);
    loop.schedule_every(tick_period, [raw = it.get()] { raw->tick(); });
    loop.schedule_every(gossip_period, [raw = it.get()] { raw->gossip(); });
    return it;
}

node::node(event_loop& loop, node_settings settings, invariant_table& invariants, node_metrics& metrics)
    : state_(loop, std::move(settings), invariants, metrics) {}

node::~node() = default;

node_state& node::state() {
    return state_;
}

result<void> node::start_sharing(caf::actor_system& actors, std::shared_ptr<object_store> store) {
    nlohmann::json document;
    if (!state_.settings.initial_document.empty()) {
        const auto text = read_file(state_.settings.initial_document);
        if (!text) {
            return text.error();
        }
        document = parse_json_or_discard(text.value());
    }
    sharing_ = std::make_unique<sharing_service>(actors, state_, std::move(store), std::move(document));
    gossip();
    return success();
}

void node::dispatch(http_request request, const std::shared_ptr<http_exchange>& exchange) {
    const auto path = path_of(request.target);
    if (path.starts_with("/v1/")) {
        for (const std::string_view name : {"Baobab-Internal-", "Baobab-Mac"}) {
            if (has_header_prefix(request.headers, name)) {
                refuse_request(*exchange,
                               {error_kind::spoofed_header,
                                "headers that start with " + std::string{name} + " are reserved for nodes",
                                "send the request without them"});
                return;
            }
        }
    }
    if (path.starts_with("/v1/call/") && request.method == "POST") {
        handle_call(state_, std::move(request), exchange);
    } else if (path == "/v1/keys" && request.method == "POST") {
        handle_issue_keys(state_, request, *exchange);
    } else if (path.starts_with("/v1/outcomes/") && request.method == "GET") {
        handle_outcome(state_, request, exchange);
    } else if (path == "/n/announce" && request.method == "POST" &&
               exchange->remote_host().starts_with("127.")) {
        handle_announce(state_, request, *exchange);
    } else if (path.starts_with("/n/")) {
        dispatch_peer(std::move(request), exchange);
    } else {
        refuse_request(*exchange, {error_kind::not_found, "no resource at this path supports this method",
                                   "see docs/callers.md for the interface"});
    }
}

void node::refuse_request(http_exchange& exchange, error cause) {
    state_.metrics.count_event(error_name(cause.kind));
    call_outcome outcome;
    outcome.kind = outcome_kind::not_run;
    outcome.cause = std::move(cause);
    exchange.respond(make_caller_response(std::move(outcome), ""));
}

void node::dispatch_peer(http_request request, const std::shared_ptr<http_exchange>& exchange) {
    const auto verified = verify_peer_request(state_, request);
    if (!verified) {
        state_.metrics.count_event("bad-mac");
        // The outcome "not run" is certain here, and the sender needs it to report the outcome of its
        // request.
        exchange->respond(make_hop_response(make_failure(outcome_kind::not_run, verified.error().kind,
                                                         verified.error().message, verified.error().remedy)));
        return;
    }
    const auto path = path_of(request.target);
    if (path.starts_with("/n/call/")) {
        handle_hop(state_, request, exchange);
    } else if (path.starts_with("/n/cancel/")) {
        handle_cancel(state_, request, *exchange);
    } else if (path.starts_with("/n/key/")) {
        handle_key_message(state_, std::move(request), exchange);
    } else if (path == "/n/gossip" && sharing_) {
        sharing_->handle_gossip(request, exchange);
    } else if (path == "/n/config" && sharing_) {
        sharing_->handle_config(request, exchange);
    } else if (path == "/n/ping") {
        auto response = json_response(200, "{}");
        // Lets the sender detect that another node now uses this address.
        response.headers.emplace_back("Baobab-Node", state_.settings.node_id);
        exchange->respond(std::move(response));
    } else {
        exchange->respond(json_response(404, error_body({error_kind::not_found, "unknown inter-node message",
                                                         "check that all nodes run the same version"})));
    }
}

void node::tick() {
    const auto now = clock::now();
    tick_target_side(state_, now);
    expire_keys(state_.keys, now);
    tick_promises(state_, now);
    send_due_probes(state_, now);
    if (sharing_) {
        sharing_->publish_own_entry();
    }
    state_.metrics.set_gauge("running", static_cast<double>(state_.admission.running.size()));
    state_.metrics.set_gauge("waiting", static_cast<double>(state_.admission.waiting.size()));
}

void node::gossip() {
    if (sharing_) {
        sharing_->round();
    }
}

void node::drain() {
    if (state_.draining) {
        return;
    }
    log(log_level::info, "node", "shutting down; waiting for calls in flight");
    state_.draining = true;
    server_->disable_keep_alive();
    drain_started_ = clock::now();
    if (state_.target.state == target_state::up) {
        state_.target.state = target_state::leaving;
        state_.target.leaving_since = drain_started_;
    }
    update_own_entry(state_);
    if (sharing_) {
        sharing_->publish_own_entry();
        sharing_->stop_platform_calls();
    }
    stop_when_idle();
}

void node::stop_when_idle() {
    const bool idle = state_.calls.empty() && state_.pending_entries == 0 &&
                      server_->busy_connections() == 0 && clock::now() - drain_started_ >= min_drain_time;
    if (idle && !closing_connections_) {
        // Requests that arrived on idle connections before these are closed are still answered.
        closing_connections_ = true;
        server_->stop_accepting();
    } else if (idle) {
        log(log_level::info, "node", "no call is in flight; stopping");
        check(state_.invariants, invariant::graceful_stop,
              state_.calls.empty() && state_.pending_entries == 0, "stopped with calls in flight");
        state_.loop.schedule(final_response_delay, [this] { state_.loop.stop(); });
        return;
    }
    state_.loop.schedule(tick_period, [this] { stop_when_idle(); });
}

} // namespace baobabswitch
