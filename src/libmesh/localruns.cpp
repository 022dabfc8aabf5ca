#include "localruns.h"

#include "forwardedheaders.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace baobabswitch {

namespace {

using nlohmann::json;

/// Time past the call's deadline for which the exchange with the target continues, so that a late response is
/// still received.
constexpr milliseconds response_grace{50};
/// The same for a non-idempotent call, which cannot be cancelled and occupies the target until it ends. Its
/// slot is released when it ends or after this time.
constexpr milliseconds non_idempotent_grace{1000};

load_report current_load(const mesh_state& state) {
    return {static_cast<double>(state.limiter.running), static_cast<double>(state.limiter.waiting.size()),
            static_cast<double>(usable_slots(state.limiter)), state.limiter.slowness};
}

void add_node_status(mesh_state& state, hop_result& it, boot_time_point now) {
    it.load = current_load(state);
    it.accepting = accepts_calls(state);
    it.config_version = config_version(state);
    it.watches_config = claims_config_watch(state);
    it.levels[state.settings.service] = {advertised_level(state), now};
    for (const auto& [service, ms] : it.costs) {
        const auto found = state.estimates.levels.find(service);
        if (service != state.settings.service && found != state.estimates.levels.end()) {
            it.levels[service] = found->second;
        }
    }
}

void log_not_run(mesh_state& state, const local_run& run, std::string_view reason) {
    if (!state.log.should_write("run-refused")) {
        return;
    }
    state.log.write_always("run-refused", {{"request", run.request_id},
                                           {"route", run.info.route},
                                           {"reason", reason},
                                           {"running", state.limiter.running},
                                           {"waiting", state.limiter.waiting.size()},
                                           {"slots", state.limiter.slots},
                                           {"left_ms", to_ms(run.info.time_left)},
                                           {"nested", run.info.nested},
                                           {"config_version", config_version(state)}});
}

/// Completes a run: removes it from the tables, releases its slot and calls `done`.
void finish_run(mesh_state& state, run_id id, hop_result it) {
    const auto found = state.runs.find(id);
    if (found == state.runs.end()) {
        return;
    }
    const auto run = std::move(found->second);
    state.runs.erase(found);
    const auto now = boot_clock::now();
    if (run.exchange) {
        const auto index = state.runs_by_request.find(run.request_id);
        if (index != state.runs_by_request.end() && index->second == id) {
            state.runs_by_request.erase(index);
        }
        const bool complete = it.outcome == hop_outcome::answered;
        release_slot(state.limiter, run.info.route,
                     complete ? std::optional{now - run.dispatched_at} : std::nullopt);
        it.reached_target = it.outcome != hop_outcome::not_run || it.reached_target;
        if (complete) {
            it.costs = run.costs;
            it.costs[state.settings.service] += to_ms(now - run.dispatched_at);
        }
    }
    const auto dispatched_at = run.exchange ? run.dispatched_at : now;
    state.metrics.count_run(it.outcome == hop_outcome::answered  ? "answered"
                            : it.outcome == hop_outcome::not_run ? "not_run"
                                                                 : "unknown",
                            it.reason, to_ms(dispatched_at - run.arrived_at) / 1000,
                            to_ms(now - dispatched_at) / 1000);
    if (it.outcome == hop_outcome::not_run) {
        log_not_run(state, run, it.reason);
    }
    add_node_status(state, it, now);
    run.done(std::move(it));
}

void refuse_run(mesh_state& state, run_id id, std::string_view reason) {
    hop_result it;
    it.outcome = hop_outcome::not_run;
    it.reason = reason;
    finish_run(state, id, std::move(it));
}

std::string_view failure_reason(const http_failure& failure) {
    if (failure.kind == http_failure_kind::cancelled) {
        return "caller-gone";
    }
    if (failure.kind == http_failure_kind::memory_exhausted) {
        return "response-memory-short";
    }
    if (!failure.sent) {
        return failure.kind == http_failure_kind::timeout ? "expired" : "target-unreachable";
    }
    return failure.kind == http_failure_kind::timeout ? "target-silent" : "target-cut";
}

/// Returns whether callers take a status as the statement that the request has not run and won't. From a
/// target that needs proof, which parse_target_response() checks first.
bool states_not_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Derives the outcome of a call from the target's response or from the failure to get one.
hop_result parse_target_response(const mesh_state& state, http_result answer) {
    hop_result it;
    if (const auto* failure = std::get_if<http_failure>(&answer)) {
        it.outcome = failure->sent ? hop_outcome::unknown : hop_outcome::not_run;
        it.reason = failure_reason(*failure);
        return it;
    }
    auto& response = std::get<http_response>(answer);
    const auto& headers = state.port.headers;
    if (find_header(response.headers, headers.not_executed) || response.status == 421) {
        it.outcome = hop_outcome::not_run;
        it.reason = response.status == 421 ? "target-replaced" : "target-full";
        it.reached_target = true;
        return it;
    }
    const bool success = response.status >= 200 && response.status < 300;
    const bool signed_by_target = find_header(response.headers, headers.signature).has_value();
    if ((success && !signed_by_target) || states_not_run(response.status)) {
        it.reason = "target-garbage";
        return it;
    }
    it.outcome = hop_outcome::answered;
    response.headers = forwarded_response_headers(response.headers);
    it.response = std::move(response);
    return it;
}

void dispatch_queue(mesh_state& state);

void on_target_response(mesh_state& state, run_id id, http_result answer) {
    const auto found = state.runs.find(id);
    if (found == state.runs.end()) {
        return;
    }
    auto it = parse_target_response(state, std::move(answer));
    if (it.outcome == hop_outcome::unknown && state.log.should_write("run-unknown")) {
        state.log.write_always("run-unknown",
                               {{"request", found->second.request_id},
                                {"route", found->second.info.route},
                                {"reason", it.reason},
                                {"after_ms", to_ms(boot_clock::now() - found->second.dispatched_at)}});
    }
    if (it.reason == "target-unreachable" && state.target.reachable) {
        state.target.reachable = false;
        state.log.write_always("target-lost", {{"address", to_string(state.settings.target)}});
    }
    finish_run(state, id, std::move(it));
    dispatch_queue(state);
}

/// Sends a call that holds a slot to the target. Refuses the call if the target no longer accepts it, or if
/// its deadline has passed, which can happen while the VM is suspended.
void dispatch_run(mesh_state& state, run_id id) {
    auto& run = state.runs.at(id);
    const auto now = boot_clock::now();
    const auto time_left = run.deadline - now;
    const bool right_target = accepts_calls(state) && state.target.current->service == run.info.service;
    if (time_left <= boot_duration::zero() || !right_target) {
        release_slot(state.limiter, run.info.route, std::nullopt);
        refuse_run(state, id, right_target ? "expired" : "target-leaving");
        return;
    }
    check(state.invariants, invariant::leaving_refuses, !state.target.leaving, run.request_id);
    const auto& names = state.port.headers;
    run.dispatched_at = now;
    auto request = std::move(run.request);
    request.headers.emplace_back(names.time_left_ms,
                                 std::to_string(static_cast<std::int64_t>(to_ms(time_left))));
    request.headers.emplace_back(names.target_instance, state.target.current->instance);
    request.headers.emplace_back(names.caller_service, run.info.caller_service);
    const duration limit = time_left + (run.info.idempotent ? response_grace : non_idempotent_grace);
    state.runs_by_request[run.request_id] = id;
    run.exchange = state.target_client->send(
        state.settings.target, std::move(request), limit,
        [&state, id](http_result answer) { on_target_response(state, id, std::move(answer)); });
}

void dispatch_queue(mesh_state& state) {
    const auto now = boot_clock::now();
    for (const auto id : expire_waiting(state.limiter, now)) {
        refuse_run(state, id, "queue-timeout");
    }
    for (const auto id : start_waiting(state.limiter, now)) {
        dispatch_run(state, id);
    }
}

/// Returns why the local target cannot run a call, or an empty string if it can.
std::string_view refusal_reason(const mesh_state& state, const hop_info& info) {
    if (state.refusing_runs) {
        return "node-stopping";
    }
    if (!state.target.current || !state.target.verified) {
        return "target-unknown";
    }
    if (state.target.leaving) {
        return "target-leaving";
    }
    if (!state.target.reachable) {
        return "target-unreachable";
    }
    return state.target.current->service == info.service ? "" : "other-service";
}

} // namespace

run_id start_local_run(mesh_state& state, hop_info info, http_request request,
                       std::function<void(hop_result)> done) {
    const auto id = ++state.last_run;
    const auto now = boot_clock::now();
    auto& run = state.runs[id];
    run.id = id;
    run.request_id = header_or_empty(request.headers, state.port.headers.request_id);
    run.request = std::move(request);
    run.done = std::move(done);
    run.arrived_at = now;
    run.deadline = now + info.time_left;
    run.info = std::move(info);
    if (const auto reason = refusal_reason(state, run.info); !reason.empty()) {
        refuse_run(state, id, reason);
        return id;
    }
    const slot_request wanted{id,
                              run.info.route,
                              run.info.nested,
                              run.info.priority,
                              run.info.time_left,
                              run.info.latency_objective};
    switch (request_slot(state.limiter, wanted, now)) {
    case slot_decision::start:
        dispatch_run(state, id);
        break;
    case slot_decision::wait:
        break;
    case slot_decision::refuse:
        refuse_run(state, id, "no-slot");
        break;
    }
    return id;
}

bool cancel_queued_run(mesh_state& state, run_id id) {
    const auto found = state.runs.find(id);
    if (found == state.runs.end() || found->second.exchange) {
        return false;
    }
    remove_waiting(state.limiter, id);
    refuse_run(state, id, "caller-gone");
    return true;
}

void cancel_local_run(mesh_state& state, run_id id) {
    if (cancel_queued_run(state, id)) {
        return;
    }
    const auto found = state.runs.find(id);
    if (found != state.runs.end() && found->second.info.idempotent) {
        state.target_client->cancel(*found->second.exchange);
    }
}

void refuse_queued_runs(mesh_state& state, std::string_view reason) {
    auto waiting = std::move(state.limiter.waiting);
    state.limiter.waiting.clear();
    for (const auto& it : waiting) {
        refuse_run(state, it.request.id, reason);
    }
}

void tick_local_runs(mesh_state& state, boot_duration elapsed) {
    dispatch_queue(state);
    update_level(state.level, utilization(state.limiter), elapsed);
}

} // namespace baobabswitch
