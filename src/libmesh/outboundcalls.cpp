#include "outboundcalls.h"

#include "forwardedheaders.h"
#include "localruns.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace baobabswitch {

namespace {

using nlohmann::json;

/// Timeout of a request that specifies none.
constexpr std::chrono::seconds default_caller_timeout{30};
/// Maximum number of targets to try after the first attempt failed.
constexpr std::size_t max_further_targets = 3;
/// Upper bound of Retry-After as a fraction of the time left.
constexpr double max_retry_after_fraction = 0.33;
/// Minimum and random spread of Retry-After as fractions of the latency objective.
constexpr double min_retry_after_fraction = 0.15;
constexpr double retry_after_spread = 0.35;
/// A request whose timeout is less than this fraction of the longest one seen on its route counts as a retry
/// by the caller after a refusal.
constexpr double retry_timeout_fraction = 0.97;
/// Range of the random part of the priority of such a retry, so that it is more likely to be admitted than a
/// new request of the same rank, whose range is 1.
constexpr double retry_priority_span = 0.5;
/// Time past the deadline for which the hop of a call continues; longer for non-idempotent calls, so that
/// they can finish.
constexpr milliseconds hop_grace{100};
constexpr milliseconds non_idempotent_hop_grace{1500};

/// At the end of a stop, time that a call is expected to take at most.
constexpr std::chrono::seconds max_call_time_at_end{1};

constexpr std::string_view reason_hop_cut = "hop-cut";
constexpr std::string_view reason_caller_gone = "caller-gone";
constexpr std::string_view reason_unreachable = "node-unreachable";
constexpr std::string_view reason_memory_short = "response-memory-short";

const route& route_of(const outbound_call& call) {
    return call.config->config.routes[call.route_index];
}

std::string route_name(const outbound_call& call) {
    return call.config ? route_of(call).name : std::string{};
}

/// Returns the Retry-After value of a refused call, in seconds.
std::string retry_after(mesh_state& state, const outbound_call& call, boot_time_point now) {
    const double objective = call.config ? to_ms(route_of(call).latency_objective) : 1000;
    const double wanted = objective * (min_retry_after_fraction + retry_after_spread * uniform(state));
    const double latest = std::max(0.0, to_ms(call.deadline - now)) * max_retry_after_fraction;
    std::array<char, 32> buf{};
    (void)std::snprintf(buf.data(), buf.size(), "%.3f", std::min(wanted, latest) / 1000);
    return buf.data();
}

void end_call(mesh_state& state, outbound_id id) {
    const auto found = state.calls.find(id);
    found->second.timer.cancel();
    state.calls.erase(found);
}

/// Sends a response to the caller. Does not remove the call from the table, since its hop may be in progress.
void respond(mesh_state& state, outbound_call& call, http_response response, std::string_view reason) {
    if (call.answered) {
        return;
    }
    call.answered = true;
    call.timer.cancel();
    const auto seconds = to_ms(boot_clock::now() - call.arrived_at) / 1000;
    state.metrics.count_request(route_name(call), response.status, reason, seconds);
    if (state.stopping) {
        response.headers.emplace_back("Connection", "close");
    }
    call.exchange->respond(std::move(response));
}

/// Responds with an error of this node.
void respond_locally(mesh_state& state, outbound_call& call, unsigned status, std::string_view reason) {
    if (call.answered) {
        return;
    }
    const auto now = boot_clock::now();
    check(state.invariants, invariant::honest_not_run, status != 503 || !call.may_have_run, call.request_id);
    http_response response = json_response(status, json{{"error", reason}}.dump());
    response.headers.emplace_back(state.port.headers.request_id, call.request_id);
    if (status == 503) {
        response.headers.emplace_back("Retry-After", retry_after(state, call, now));
    }
    if (state.log.should_write("request-failed")) {
        state.log.write_always("request-failed",
                               {{"request", call.request_id},
                                {"route", route_name(call)},
                                {"service", call.service},
                                {"status", status},
                                {"reason", reason},
                                {"after_ms", to_ms(now - call.arrived_at)},
                                {"left_ms", to_ms(call.deadline - now)},
                                {"nested", call.nested},
                                {"tried", call.tried},
                                {"targets_reached", call.targets_reached},
                                {"config_version", call.config ? call.config->config.version : 0}});
    }
    respond(state, call, std::move(response), reason);
}

void start_attempt(mesh_state& state, outbound_id id);

/// Updates the load, admission and cost estimates from a hop result.
void record_hop_result(mesh_state& state, const outbound_call& call, const hop_result& it,
                       boot_time_point now) {
    for (const auto& [service, level] : it.levels) {
        observe_level(state.estimates, service, level);
    }
    if (it.outcome == hop_outcome::answered) {
        observe_costs(state.estimates, route_name(call), it.costs);
        if (call.parent) {
            const auto parent = state.runs.find(*call.parent);
            if (parent != state.runs.end()) {
                for (const auto& [service, ms] : it.costs) {
                    parent->second.costs[service] += ms;
                }
            }
        }
    }
    const auto target = state.targets.by_node.find(call.hop_node);
    if (target == state.targets.by_node.end()) {
        return;
    }
    auto& view = target->second;
    if (it.unreachable) {
        note_unreachable(state, view);
    } else if (it.from_peer) {
        note_heard(state, view, it.watches_config);
    }
    view.in_flight -= view.in_flight > 0 ? 1 : 0;
    if (it.load.capacity > 0) {
        record_report(view, it.load, now);
    }
    if (it.reached_target && it.reason != reason_caller_gone) {
        record_outcome(view, it.outcome == hop_outcome::answered, now);
    }
    if (it.outcome == hop_outcome::answered) {
        record_available(view);
    } else if (!it.accepting || it.reason == reason_hop_cut || it.reason == reason_unreachable) {
        record_unavailable(view, now);
    }
    if (call.hop_node != state.settings.node && it.load.capacity > 0) {
        if (it.config_version > config_version(state) && state.on_newer_config) {
            state.on_newer_config(view.entry.peer);
        } else if (it.config_version == 0 && state.on_unconfigured_peer) {
            state.on_unconfigured_peer(view.entry.peer);
        }
    }
}

/// Retries a failed attempt at another target or responds with an error.
void on_attempt_failed(mesh_state& state, outbound_id id, const hop_result& it) {
    auto& call = state.calls.at(id);
    const auto now = boot_clock::now();
    const auto& rule = route_of(call);
    if (call.answered) {
        end_call(state, id);
        return;
    }
    const bool known_not_run = it.outcome == hop_outcome::not_run;
    const bool repeatable = rule.repeat == repeatability::idempotent;
    const bool may_run_again = known_not_run || repeatable;
    const bool targets_left = call.targets_reached < rule.max_targets;
    const bool time_left = call.deadline > now;
    // Only calls that reached a target consume the retry budget. A refusal by the target's node causes no
    // load on the service.
    const bool costs_budget = call.targets_reached > 0;
    const bool budget_left = !costs_budget || may_retry(state.budget, call.service, now);
    if (may_run_again && targets_left && time_left && call.tried.size() <= max_further_targets &&
        budget_left) {
        start_attempt(state, id);
        return;
    }
    if (may_run_again && targets_left && time_left && !budget_left) {
        state.metrics.count_event("retry_denied");
    }
    respond_locally(state, call, call.may_have_run ? 502 : 503, it.reason);
    end_call(state, id);
}

void on_hop_result(mesh_state& state, outbound_id id, hop_result it) {
    const auto found = state.calls.find(id);
    if (found == state.calls.end()) {
        return;
    }
    auto& call = found->second;
    call.hop_exchange.reset();
    call.hop_run.reset();
    record_hop_result(state, call, it, boot_clock::now());
    if (it.outcome == hop_outcome::unknown || (it.reached_target && it.outcome == hop_outcome::not_run)) {
        ++call.targets_reached;
    }
    call.may_have_run = call.may_have_run || it.outcome == hop_outcome::unknown;
    if (it.outcome != hop_outcome::answered) {
        on_attempt_failed(state, id, it);
        return;
    }
    const auto response_id = find_header(it.response.headers, state.port.headers.request_id);
    check(state.invariants, invariant::whole_answer, !response_id || *response_id == call.request_id,
          call.request_id);
    respond(state, call, std::move(it.response), "");
    end_call(state, id);
}

hop_result parse_hop_response(const mesh_state& state, http_result answer, boot_time_point now) {
    hop_result it;
    if (const auto* failure = std::get_if<http_failure>(&answer)) {
        it.outcome = failure->sent ? hop_outcome::unknown : hop_outcome::not_run;
        it.unreachable = failure->kind == http_failure_kind::connect_failed;
        it.reason = failure->kind == http_failure_kind::cancelled          ? reason_caller_gone
                    : failure->kind == http_failure_kind::memory_exhausted ? reason_memory_short
                    : failure->sent                                        ? reason_hop_cut
                                                                           : reason_unreachable;
        return it;
    }
    auto& response = std::get<http_response>(answer);
    const auto text = find_header(response.headers, hop_header);
    if (!text) {
        // A node that is short of memory refuses a request before reading it.
        it.outcome = response.status == 503 ? hop_outcome::not_run : hop_outcome::unknown;
        it.reason = response.status == 503 ? "node-memory-short" : "hop-garbage";
        return it;
    }
    // The client passes over results of other requests, which it recognizes by their id.
    const bool has_id = find_header(response.headers, state.port.headers.request_id).has_value();
    auto decoded = decode_hop_result(*text, now);
    if (!decoded || !has_id) {
        it.reason = "hop-garbage";
        return it;
    }
    it = std::move(decoded.value());
    response.headers = forwarded_response_headers(response.headers);
    it.response = std::move(response);
    return it;
}

hop_info make_hop_info(const mesh_state& state, const outbound_call& call, boot_time_point now) {
    const auto& rule = route_of(call);
    hop_info it;
    it.node = state.settings.node;
    it.caller_service = state.settings.service;
    it.service = call.service;
    it.route = rule.name;
    it.time_left = call.deadline - now;
    it.latency_objective = rule.latency_objective;
    it.priority = call.priority;
    it.idempotent = rule.repeat == repeatability::idempotent;
    it.nested = call.nested;
    it.is_retry = call.is_retry || call.targets_reached > 0;
    it.config_version = config_version(state);
    it.watches_config = claims_config_watch(state);
    return it;
}

void count_attempt(mesh_state& state, const outbound_call& call, boot_time_point now) {
    if (call.is_retry || call.targets_reached > 0) {
        count_retry(state.budget, call.service, now);
        if (call.targets_reached > 0) {
            state.metrics.count_event("retry");
        }
    }
    if (call.tried.empty()) {
        count_first_call(state.budget, call.service, now);
    }
}

/// Sends the call to the best target that was not tried yet.
void start_attempt(mesh_state& state, outbound_id id) {
    auto& call = state.calls.at(id);
    const auto now = boot_clock::now();
    auto* target =
        choose_target(state.targets, {call.service, state.settings.domain, call.tried, now, uniform(state)});
    if (target == nullptr) {
        respond_locally(state, call, call.may_have_run ? 502 : 503, "no-target");
        end_call(state, id);
        return;
    }
    if (call.targets_reached > 0 && state.log.should_write("request-repeated")) {
        state.log.write_always("request-repeated", {{"request", call.request_id},
                                                    {"service", call.service},
                                                    {"node", target->entry.node},
                                                    {"targets_reached", call.targets_reached}});
    }
    const auto& rule = route_of(call);
    check(state.invariants, invariant::at_most_once,
          rule.repeat == repeatability::idempotent || !call.may_have_run, call.request_id);
    check(state.invariants, invariant::retry_bound, call.targets_reached < std::max(1U, rule.max_targets),
          call.request_id);
    count_attempt(state, call, now);
    call.tried.push_back(target->entry.node);
    call.hop_node = target->entry.node;
    ++target->in_flight;
    const auto info = make_hop_info(state, call, now);
    if (target->entry.node == state.settings.node) {
        // The run may end inside start_local_run(), so its result is posted and handled after hop_run is set.
        const auto run = start_local_run(state, info, call.request, [&state, id](hop_result it) {
            state.loop.post(
                [&state, id, it = std::move(it)]() mutable { on_hop_result(state, id, std::move(it)); });
        });
        call.hop_run = run;
        return;
    }
    auto request = call.request;
    request.headers.emplace_back(hop_header, encode_hop_info(info));
    const duration limit = info.time_left + (info.idempotent ? hop_grace : non_idempotent_hop_grace);
    call.hop_exchange = state.peer_client->send(
        target->entry.peer, std::move(request), limit, [&state, id](http_result result) {
            on_hop_result(state, id, parse_hop_response(state, std::move(result), boot_clock::now()));
        });
}

void cancel_hop(mesh_state& state, const outbound_call& call) {
    if (call.hop_run) {
        cancel_local_run(state, *call.hop_run);
    } else if (call.hop_exchange) {
        state.peer_client->cancel(*call.hop_exchange);
    }
}

/// Cancels an attempt that was not sent yet. Returns whether it was cancelled, so that it never runs.
bool cancel_unsent_hop(mesh_state& state, const outbound_call& call) {
    if (call.hop_run) {
        return cancel_queued_run(state, *call.hop_run);
    }
    return call.hop_exchange && state.peer_client->cancel_if_unsent(*call.hop_exchange);
}

void on_timeout(mesh_state& state, outbound_id id) {
    const auto found = state.calls.find(id);
    if (found == state.calls.end() || found->second.answered) {
        return;
    }
    auto& call = found->second;
    const bool never_runs = cancel_unsent_hop(state, call) && !call.may_have_run;
    respond_locally(state, call, never_runs ? 503 : 504, "timeout");
    if (route_of(call).repeat == repeatability::idempotent) {
        cancel_hop(state, call);
    }
}

void on_caller_gone(mesh_state& state, outbound_id id) {
    const auto found = state.calls.find(id);
    if (found == state.calls.end() || found->second.answered) {
        return;
    }
    auto& call = found->second;
    call.answered = true;
    call.timer.cancel();
    state.metrics.count_request(route_name(call), 0, "caller-gone",
                                to_ms(boot_clock::now() - call.arrived_at) / 1000);
    if (route_of(call).repeat == repeatability::idempotent) {
        cancel_hop(state, call);
    }
}

/// Returns the local run that made a call, or null. Targets form the id of a nested call from the id of the
/// request that they run, a dot and a suffix. A call without a known parent counts as a caller's own request.
const local_run* find_parent(const mesh_state& state, std::string_view request_id) {
    const auto dot = request_id.rfind('.');
    if (dot == std::string_view::npos) {
        return nullptr;
    }
    const auto found = state.runs_by_request.find(std::string{request_id.substr(0, dot)});
    if (found == state.runs_by_request.end()) {
        return nullptr;
    }
    const auto run = state.runs.find(found->second);
    return run == state.runs.end() ? nullptr : &run->second;
}

/// Sets the priority of a request for load shedding; nested calls inherit that of their parent.
void assign_priority(mesh_state& state, outbound_call& call, boot_duration caller_timeout) {
    if (const auto* parent = find_parent(state, call.request_id)) {
        call.parent = parent->id;
        call.nested = true;
        call.is_retry = parent->info.is_retry;
        call.priority = parent->info.priority;
        return;
    }
    const auto& rule = route_of(call);
    auto& longest = state.max_caller_timeouts[rule.name];
    const bool resubmitted = to_ms(caller_timeout) < to_ms(longest) * retry_timeout_fraction;
    longest = std::max(longest, caller_timeout);
    call.priority = rule.rank + uniform(state) * (resubmitted ? retry_priority_span : 1.0);
}

/// Refuses a request if its priority is not below the admission level. Nested calls are always admitted.
/// Returns whether the request was admitted.
bool admit(mesh_state& state, outbound_call& call) {
    if (call.nested) {
        return true;
    }
    auto level = level_for_route(state.estimates, route_of(call).name, boot_clock::now());
    if (state.processor_level.level < level.level) {
        level = {state.processor_level.level, "processor of this node", {}};
    }
    if (call.priority < level.level) {
        return true;
    }
    if (state.log.should_write("request-refused")) {
        state.log.write_always("request-refused", {{"request", call.request_id},
                                                   {"route", route_of(call).name},
                                                   {"position", call.priority},
                                                   {"level", level.level},
                                                   {"tightest", level.service},
                                                   {"level_age_ms", to_ms(level.age)}});
    }
    respond_locally(state, call, 503, "overload");
    return false;
}

/// Returns the status with which an invalid request is refused, or 0 if it is valid.
unsigned validate_request(const mesh_state& state, const http_request& request) {
    const auto hosts = std::count_if(request.headers.begin(), request.headers.end(),
                                     [](const auto& field) { return same_header(field.first, "Host"); });
    if (hosts != 1 || !request.target.starts_with('/')) {
        return 400;
    }
    if (header_or_empty(request.headers, state.port.headers.request_id).empty()) {
        return 400;
    }
    return state.config ? 0 : 503;
}

boot_duration caller_timeout_of(const mesh_state& state, const http_request& request) {
    const auto ms = parse_number(header_or_empty(request.headers, state.port.headers.time_left_ms));
    // Limited to one day, so that sums of times do not overflow.
    constexpr std::uint64_t longest_ms = 86'400'000;
    return ms ? boot_duration{std::chrono::milliseconds{std::min(*ms, longest_ms)}}
              : boot_duration{default_caller_timeout};
}

} // namespace

void handle_outbound(mesh_state& state, http_request request,
                     const std::shared_ptr<http_exchange>& exchange) {
    outbound_call call;
    call.id = ++state.last_call;
    call.exchange = exchange;
    call.arrived_at = boot_clock::now();
    call.request_id = header_or_empty(request.headers, state.port.headers.request_id);
    const auto caller_timeout = caller_timeout_of(state, request);
    call.deadline = call.arrived_at + caller_timeout;
    if (const auto status = validate_request(state, request); status != 0) {
        respond_locally(state, call, status, status == 400 ? "malformed" : "no-config");
        return;
    }
    call.config = state.config;
    const auto host = header_or_empty(request.headers, "Host");
    call.route_index = call.config->table.find(host, path_of(request.target));
    if (call.route_index == route_table::npos) {
        call.config = nullptr;
        respond_locally(state, call, 404, "no-route");
        return;
    }
    const auto& rule = route_of(call);
    call.timeout_at = call.arrived_at + rule.timeout;
    call.deadline = std::min(call.deadline, call.timeout_at);
    call.service = choose_service(rule, state.requests_by_route[rule.name]++);
    request.headers = forwarded_request_headers(request.headers, state.port.headers);
    call.request = std::move(request);
    assign_priority(state, call, caller_timeout);
    // A call that would outlast the stop is better tried elsewhere.
    const bool ends_too_late = state.stops_at - call.arrived_at <
                               std::min<boot_duration>(rule.latency_objective, max_call_time_at_end);
    if ((state.refusing_requests && !call.nested) || ends_too_late) {
        respond_locally(state, call, 503, "node-stopping");
        return;
    }
    if (!admit(state, call)) {
        return;
    }
    const auto id = call.id;
    call.timer =
        state.loop.schedule(call.deadline - call.arrived_at, [&state, id] { on_timeout(state, id); });
    exchange->on_abandoned([&state, id] { on_caller_gone(state, id); });
    state.calls.emplace(id, std::move(call));
    start_attempt(state, id);
}

std::size_t end_outbound(mesh_state& state, std::string_view reason) {
    std::size_t ended = 0;
    for (auto& [id, call] : state.calls) {
        if (!call.answered) {
            const bool never_runs = cancel_unsent_hop(state, call) && !call.may_have_run;
            respond_locally(state, call, never_runs ? 503 : 502, reason);
            ++ended;
        }
    }
    return ended;
}

void expire_outbound(mesh_state& state) {
    const auto now = boot_clock::now();
    std::vector<outbound_id> expired;
    for (const auto& [id, call] : state.calls) {
        if (!call.answered && call.deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        on_timeout(state, id);
    }
}

} // namespace baobabswitch
