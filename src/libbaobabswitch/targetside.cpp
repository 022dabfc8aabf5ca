#include "targetside.h"

#include "log.h"
#include "outgoingcall.h"
#include "peermessages.h"
#include "targetannouncement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

constexpr std::chrono::seconds announcement_lifetime{3};
/// Time for which a draining node still sends queued calls to its target. A leaving target must get no calls
/// after 3 s (guarantee P6 of the design).
constexpr std::chrono::seconds drain_grace{2};
constexpr std::chrono::seconds leaving_limit{3};

constexpr std::string_view cancel_prefix = "/n/cancel/";

void apply_queue_changes(node_state& node, const queue_changes& changes);

admission_entry make_admission_entry(const node_state& node, const call_info& info) {
    return {info.call,
            info.kind,
            info.importance,
            info.depth,
            info.cancellable,
            info.deadline,
            0,
            expected_service_ms(node.service_times, info.kind),
            is_long_kind(node.service_times, info.kind)};
}

/// Cancels the child calls of a call that was cancelled or failed, since their responses are no longer used.
void cancel_children(const target_call& parent) {
    for (const auto& it : parent.children) {
        if (const auto child = it.lock()) {
            child->cancel();
        }
    }
}

/// Ends a call: sends its outcome, frees its slot and starts waiting calls.
void finish_call(node_state& node, const std::string& call, call_outcome outcome) {
    const auto it = node.calls.find(call);
    if (it == node.calls.end()) {
        return;
    }
    auto ended = std::move(it->second);
    node.calls.erase(it);
    check(node.invariants, invariant::honest_not_run,
          outcome.kind != outcome_kind::not_run || ended.attempts.unresolved == 0,
          "\"not run\" for a call that was handed to the target");
    trace_call(node, ended.info.request, call, "ended",
               std::string{outcome_name(outcome.kind)} +
                   (outcome.cause ? ", " + describe(*outcome.cause) : ""));
    outcome.spent = ended.ledger.spent + ended.ledger.lent;
    const auto now = clock::now();
    const bool completed = outcome.kind == outcome_kind::done;
    if (completed && outcome.response.status < 500) {
        record_service_time(node.service_times, ended.info.kind, now - ended.started);
        record_concurrency_sample(node.concurrency, ended.info.kind, now - ended.started - ended.child_time,
                                  node.admission.running.size() >= node.admission.limits.slots);
    }
    outcome.thresholds = report_thresholds(node.downstream, node.demand.level, node.target.kinds, now);
    outcome.wait =
        milliseconds{std::lround(expected_wait_ms(node.admission, make_admission_entry(node, ended.info)))};
    ended.finish(std::move(outcome));
    if (!completed) {
        cancel_children(ended);
    }
    apply_queue_changes(node, remove_call(node.admission, call, now));
}

call_outcome parse_target_result(http_result result) {
    if (auto* response = std::get_if<http_response>(&result)) {
        if (response->status == 503 && header_or_empty(response->headers, "Baobab-Not-Run") == "1") {
            const bool cancelled = header_or_empty(response->headers, "Baobab-Cancelled") == "1";
            return make_failure(outcome_kind::not_run, cancelled ? error_kind::cancelled : error_kind::shed,
                                cancelled ? "the target stopped the call before it started"
                                          : "the target shed the call",
                                "try again later");
        }
        if (header_or_empty(response->headers, "Baobab-Cancelled") == "1") {
            return make_failure(outcome_kind::unknown, error_kind::cancelled,
                                "the target stopped the call, which may have started",
                                "query the outcome with the request key");
        }
        if (response->status < 200) {
            return make_failure(outcome_kind::unknown, error_kind::target_garbage,
                                "the target responded with status " + std::to_string(response->status),
                                "query the outcome with the request key");
        }
        call_outcome outcome;
        outcome.kind = outcome_kind::done;
        outcome.response = std::move(*response);
        strip_reserved_headers(outcome.response.headers);
        return outcome;
    }
    const auto& failure = std::get<http_failure>(result);
    if (!failure.sent && failure.kind == http_failure_kind::timeout) {
        return make_failure(outcome_kind::not_run, error_kind::expired,
                            "the timeout of the call expired before a connection to the target was free",
                            "use a longer timeout");
    }
    if (!failure.sent) {
        return make_failure(outcome_kind::not_run, error_kind::target_failed,
                            "the target is unreachable: " + failure.detail, "try again later");
    }
    switch (failure.kind) {
    case http_failure_kind::timeout:
        return make_failure(outcome_kind::unknown, error_kind::timeout,
                            "the target did not respond within the timeout",
                            "query the outcome with the request key");
    case http_failure_kind::truncated:
    case http_failure_kind::malformed:
        return make_failure(outcome_kind::unknown, error_kind::target_garbage,
                            "the response of the target was truncated or malformed: " + failure.detail,
                            "query the outcome with the request key");
    case http_failure_kind::cancelled:
        return make_failure(outcome_kind::unknown, error_kind::cancelled, "the call was cancelled",
                            "query the outcome with the request key");
    default:
        return make_failure(outcome_kind::unknown, error_kind::target_failed,
                            "the target closed the connection: " + failure.detail,
                            "query the outcome with the request key");
    }
}

/// Sends a cancellation to the target. The exchange of the call stays open, because the outcome is determined
/// by the target's response to the call itself.
void cancel_at_target(node_state& node, const std::string& call) {
    constexpr milliseconds cancel_timeout{500};
    if (const auto it = node.calls.find(call); it != node.calls.end()) {
        if (it->second.cancelled) {
            return;
        }
        it->second.cancelled = true;
        trace_call(node, it->second.info.request, call, "cancelled",
                   "cancellation requested from the target");
        cancel_children(it->second);
    }
    node.metrics.count_event("cancel");
    node.target_client.send(node.target.address, {"POST", "/cancel/" + call, {}, ""}, cancel_timeout,
                            [](const http_result&) {});
}

void send_to_target(node_state& node, const std::string& call) {
    auto& it = node.calls.at(call);
    const auto now = clock::now();
    const auto left_time = std::chrono::duration_cast<milliseconds>(it.info.deadline - now);
    if (left_time <= milliseconds{0}) {
        finish_call(node, call,
                    make_failure(outcome_kind::not_run, error_kind::expired,
                                 "the timeout of the call expired in the queue", "use a longer timeout"));
        return;
    }
    check(node.invariants, invariant::leaving_refuses,
          node.target.state == target_state::up || now - node.target.leaving_since < leaving_limit,
          "a call was sent to a target that is leaving");
    it.sent = true;
    it.started = now;
    mark_sent(it.attempts, it.info.idempotent, node.invariants);
    trace_call(node, it.info.request, call, "sent", "to the target");
    http_request request{"POST",
                         it.info.path,
                         {{"Baobab-Request", it.info.request},
                          {"Baobab-Call", it.info.call},
                          {"Baobab-Kind", it.info.kind},
                          {"Baobab-Timeout-Ms", std::to_string(left_time.count())}},
                         std::move(it.info.body)};
    it.exchange = node.target_client.send(
        node.target.address, std::move(request), left_time, [&node, call](http_result result) {
            const auto* failure = std::get_if<http_failure>(&result);
            if (failure != nullptr && failure->sent && failure->kind == http_failure_kind::timeout &&
                node.config->policy.mode != policy_mode::direct) {
                cancel_at_target(node, call);
            }
            auto outcome = parse_target_result(std::move(result));
            if (const auto found = node.calls.find(call);
                found != node.calls.end() && outcome.kind == outcome_kind::not_run) {
                mark_not_run(found->second.attempts);
            }
            finish_call(node, call, std::move(outcome));
        });
}

/// Starts and expires waiting calls as decided by admission control.
void apply_queue_changes(node_state& node, const queue_changes& changes) {
    for (const auto& it : changes.start) {
        if (node.calls.contains(it)) {
            send_to_target(node, it);
        }
    }
    for (const auto& it : changes.expired) {
        finish_call(node, it,
                    make_failure(outcome_kind::not_run, error_kind::expired,
                                 "the call can no longer complete within its timeout",
                                 "use a longer timeout"));
    }
}

/// Refuses all waiting calls when the target accepts no new calls, so that their senders can use other
/// targets.
void refuse_waiting(node_state& node, error_kind cause, const std::string& message) {
    std::vector<std::string> waiting;
    for (const auto& [order, it] : node.admission.waiting) {
        waiting.push_back(it.call);
    }
    // Cleared first, so that ending one call doesn't start another.
    node.admission.waiting.clear();
    for (const auto& it : waiting) {
        finish_call(node, it, make_failure(outcome_kind::not_run, cause, message, "use another target"));
    }
}

/// Handles a call whose sender is gone: removes it from the queue, or cancels it at the target if its kind is
/// cancellable.
void abandon_call(node_state& node, const std::string& call) {
    const auto it = node.calls.find(call);
    if (it == node.calls.end() || node.config->policy.mode == policy_mode::direct) {
        return;
    }
    trace_call(node, it->second.info.request, call, "abandoned", "the sender abandoned the call");
    if (!it->second.sent) {
        finish_call(
            node, call,
            make_failure(outcome_kind::not_run, error_kind::cancelled, "the sender abandoned the call", ""));
    } else if (it->second.info.cancellable) {
        cancel_at_target(node, call);
    }
}

void refuse_hop(http_exchange& exchange, error_kind kind, std::string message, std::string remedy) {
    exchange.respond(
        make_hop_response(make_failure(outcome_kind::not_run, kind, std::move(message), std::move(remedy))));
}

/// Carries out the admission decision about a new call.
void apply_admission_decision(node_state& node, const std::string& call, const admission_decision& decision) {
    for (const auto& it : decision.evicted) {
        node.metrics.count_event("evicted");
        if (const auto found = node.calls.find(it); found != node.calls.end()) {
            trace_call(node, found->second.info.request, it, "evicted",
                       "by the higher-priority call " + call);
        }
        finish_call(node, it,
                    make_failure(outcome_kind::not_run, error_kind::shed,
                                 "evicted from the queue by a call of higher priority", "try again later"));
    }
    for (const auto& it : decision.cancel) {
        cancel_at_target(node, it);
    }
    if (decision.verdict == admission_verdict::run) {
        send_to_target(node, call);
    } else if (decision.verdict == admission_verdict::refused) {
        log(log_level::info, "admission", "refused a call; no less important call can be shed",
            {{"call", call}, {"load", decision.reason}});
        finish_call(node, call,
                    make_failure(outcome_kind::not_run, error_kind::overloaded,
                                 "the target's slots and queue are full", "try again later"));
    }
}

} // namespace

void handle_hop(node_state& node, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange) {
    auto parsed = parse_hop_request(request, clock::now());
    if (!parsed) {
        node.metrics.count_event(error_name(parsed.error().kind));
        refuse_hop(*exchange, parsed.error().kind, parsed.error().message, parsed.error().remedy);
        return;
    }
    auto& info = parsed.value();
    if (node.target.state != target_state::up || node.target.service != info.service) {
        const bool leaving = node.target.state == target_state::leaving;
        refuse_hop(*exchange, leaving ? error_kind::draining : error_kind::no_target,
                   "the target of service \"" + info.service + "\" accepts no new calls at this node",
                   "use another target");
        return;
    }
    if (node.calls.contains(info.call)) {
        // The first message with this call id may have run, so the outcome is not "not run".
        exchange->respond(make_hop_response(make_failure(outcome_kind::unknown, error_kind::malformed,
                                                         "this node already has a call with this id",
                                                         "send each call once")));
        return;
    }
    if (node.calls.size() >= max_calls) {
        node.metrics.count_event(error_name(error_kind::overloaded));
        refuse_hop(*exchange, error_kind::overloaded, "this node has reached its limit of concurrent calls",
                   "use another target");
        return;
    }
    check(node.invariants, invariant::leaving_refuses,
          node.target.state == target_state::up && !node.draining,
          "a call was sent to a target that is leaving");
    trace_call(node, info.request, info.call, "hop-arrived", info.kind);
    const auto call = info.call;
    auto entry = make_admission_entry(node, info);
    count_demand(node.demand, info.importance, entry.expected_ms, info.weight, entry.is_long);
    target_call added;
    added.ledger.granted = info.grant;
    added.info = std::move(info);
    added.received = clock::now();
    added.finish = [exchange, call](call_outcome outcome) {
        auto response = make_hop_response(std::move(outcome));
        response.headers.emplace_back("Baobab-Internal-Call", call);
        exchange->respond(std::move(response));
    };
    node.calls.emplace(call, std::move(added));
    exchange->on_abandoned([&node, call] { abandon_call(node, call); });
    apply_admission_decision(node, call,
                             submit_call(node.admission, std::move(entry), clock::now(), node.invariants));
}

void handle_cancel(node_state& node, const http_request& request, http_exchange& exchange) {
    abandon_call(node, std::string{path_of(request.target).substr(cancel_prefix.size())});
    exchange.respond(json_response(200, "{}"));
}

void handle_announce(node_state& node, const http_request& request, http_exchange& exchange) {
    const auto parsed = parse_announcement(node, request.body);
    if (!parsed) {
        node.metrics.count_event("bad-announcement");
        exchange.respond(json_response(400, error_body(parsed.error())));
        return;
    }
    const auto& next = parsed.value();
    auto& target = node.target;
    const bool was_leaving = target.state == target_state::leaving;
    target.service = next.service;
    target.address = next.address;
    target.slots = next.slots;
    target.connections = next.connections;
    target.state = node.draining ? target_state::leaving : next.state;
    target.last_announced = clock::now();
    if (target.state == target_state::leaving && !was_leaving) {
        target.leaving_since = target.last_announced;
    }
    update_admission_limits(node);
    update_own_entry(node);
    if (next.state == target_state::leaving) {
        refuse_waiting(node, error_kind::draining, "the target is leaving");
    }
    exchange.respond(json_response(200, "{}"));
}

void update_admission_limits(node_state& node) {
    const auto& config = *node.config;
    const auto service = config.services.find(node.target.service);
    const auto limits = service == config.services.end() ? service_config{} : service->second;
    node.target_client.limit_connections(node.target.address,
                                         std::max<std::size_t>(node.target.connections, 1));
    node.target.kinds.clear();
    for (const auto& [name, kind] : config.kinds) {
        if (kind.service == node.target.service) {
            node.target.kinds.push_back(name);
        }
    }
    auto& table = node.admission.limits;
    table.queue = limits.queue;
    table.slots = std::min(limits.slots, std::max<std::size_t>(node.target.slots, 1));
    table.fifo = config.policy.mode != policy_mode::baobabswitch;
    if (config.policy.mode == policy_mode::direct) {
        table.slots = std::numeric_limits<std::size_t>::max();
    }
    if (!table.fifo) {
        configure_concurrency(node.concurrency, table.slots);
        table.slots = current_concurrency(node.concurrency);
    }
}

namespace {

/// Returns the number of slots reserved for short calls: one in ten, or the demand of short calls if greater.
/// The demand is the mean number of short calls in progress plus two standard deviations, so that few of them
/// wait.
std::size_t short_reserve(const node_state& node) {
    if (node.admission.limits.fifo) {
        return 0;
    }
    constexpr std::size_t slots_per_reserved = 10;
    const double need = node.demand.short_slots + 2 * std::sqrt(node.demand.short_slots);
    return std::max(node.admission.limits.slots / slots_per_reserved,
                    static_cast<std::size_t>(std::ceil(need)));
}

/// Updates the expected service times, the classification of calls and the concurrency limit.
void update_measurements(node_state& node, time_point now) {
    for (const auto& [call, it] : node.calls) {
        if (it.sent) {
            record_elapsed_time(node.service_times, it.info.kind, now - it.started);
        }
    }
    if (node.admission.limits.fifo) {
        return;
    }
    std::set<std::string, std::less<>> long_kinds;
    for (const auto& [kind, it] : node.service_times.kinds) {
        if (is_long_kind(node.service_times, kind)) {
            long_kinds.insert(kind);
        }
    }
    classify_calls(node.admission, long_kinds);
    if (node.target.state == target_state::up) {
        node.admission.limits.slots = update_concurrency(node.concurrency);
    }
    node.metrics.set_gauge("limit", static_cast<double>(node.admission.limits.slots));
}

void update_demand(node_state& node, time_point now) {
    const auto& waiting = node.admission.waiting;
    const auto backlog = std::count_if(waiting.begin(), waiting.end(), [&](const auto& it) {
        return it.second.importance + 1 > node.demand.level;
    });
    update_level(node.demand, static_cast<double>(node.admission.limits.slots), static_cast<double>(backlog),
                 now);
    node.admission.limits.short_reserve = short_reserve(node);
    node.metrics.set_gauge("level", node.demand.level);
}

} // namespace

void tick_target_side(node_state& node, time_point now) {
    update_ejections(node.target_choice, now);
    update_measurements(node, now);
    update_demand(node, now);
    if (node.target.state != target_state::none && node.target.state != target_state::down &&
        now - node.target.last_announced > announcement_lifetime) {
        log(log_level::warning, "target", "target announcements stopped; no new calls are sent to the target",
            {{"service", node.target.service}});
        node.target.state = target_state::down;
        update_own_entry(node);
        refuse_waiting(node, error_kind::no_target, "target announcements stopped");
    }
    if (node.target.state == target_state::leaving && now - node.target.leaving_since > drain_grace) {
        refuse_waiting(node, error_kind::draining, "the target is leaving");
    }
    apply_queue_changes(node, advance_queue(node.admission, now));
}

void update_own_entry(node_state& node) {
    auto& own = node.members[node.settings.node_id];
    member next = own;
    next.node = node.settings.node_id;
    next.incarnation = node.incarnation;
    next.address = node.settings.advertise;
    next.domain = node.settings.domain;
    next.service = node.target.service;
    next.state =
        node.draining && node.target.state == target_state::up ? target_state::leaving : node.target.state;
    next.slots = node.target.slots;
    if (to_json(next) != to_json(own) || own.version == 0) {
        ++next.version;
        own = next;
        update_targets(node.target_choice, node.members, clock::now());
    }
}

} // namespace baobabswitch
