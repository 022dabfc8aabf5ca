#include "outgoingcall.h"

#include "peermessages.h"

#include <algorithm>

namespace baobabswitch {

namespace {

/// Retries per hop of the baseline policies, which have no retry budget per request.
constexpr unsigned baseline_retries_per_hop = 3;

/// Subtracted from the timeout at each hop, so that the target's node can still report an expired call.
constexpr milliseconds transit_allowance{2};

constexpr milliseconds cancel_timeout{500};

milliseconds remaining(const call_info& info, time_point now) {
    return std::chrono::duration_cast<milliseconds>(info.deadline - now);
}

call_outcome failure_outcome(const http_failure& failure) {
    const auto kind = failure.sent ? outcome_kind::unknown : outcome_kind::not_run;
    switch (failure.kind) {
    case http_failure_kind::timeout:
        return make_failure(kind, error_kind::timeout, "no response within the timeout of the call",
                            "query the outcome with the request key, or use a longer timeout");
    case http_failure_kind::cancelled:
        return make_failure(kind, error_kind::cancelled, "the call was cancelled before the response arrived",
                            "query the outcome with the request key");
    case http_failure_kind::truncated:
    case http_failure_kind::malformed:
        return make_failure(kind, error_kind::target_garbage,
                            "the response was truncated or malformed: " + failure.detail,
                            "query the outcome with the request key");
    default:
        return make_failure(kind, error_kind::target_failed,
                            "the node of the target failed: " + failure.detail,
                            failure.sent ? "query the outcome with the request key" : "try again later");
    }
}

} // namespace

outgoing_call::outgoing_call(node_state& node, call_info info, retry_ledger ledger,
                             std::shared_ptr<key_record> record, callback on_done)
    : node_(node),
      info_(std::move(info)),
      ledger_(ledger),
      record_(std::move(record)),
      on_done_(std::move(on_done)) {}

void outgoing_call::start() {
    if (passes_threshold()) {
        attempt();
        return;
    }
    node_.metrics.count_event("refused-at-entry");
    finish(make_failure(outcome_kind::not_run, error_kind::overloaded,
                        "service \"" + info_.service + "\" currently admits only more important calls",
                        "try again later"));
}

bool outgoing_call::passes_threshold() {
    if (node_.config->policy.mode != policy_mode::baobabswitch) {
        return true;
    }
    const auto level = threshold_level(node_.thresholds, info_.service, info_.kind, clock::now());
    const double share = admitted_share(level, info_.importance, info_.depth);
    info_.weight = 1 / share;
    return share >= 1 || std::uniform_real_distribution<double>{0, 1}(node_.rng) < share;
}

void outgoing_call::cancel() {
    if (cancelled_ || finished_) {
        return;
    }
    cancelled_ = true;
    trace_call(node_, info_.request, info_.call, "cancelled", "the response is no longer needed");
    for (const auto& it : std::vector{open_}) {
        if (record_ == nullptr) {
            node_.peer_client.cancel(it.exchange);
        } else if (!node_.peer_client.cancel_if_unsent(it.exchange)) {
            node_.peer_client.send(it.peer, make_peer_request(node_, "POST", "/n/cancel/" + it.call, {}, ""),
                                   cancel_timeout, [](const http_result&) {});
        }
    }
}

attempt_tracker& outgoing_call::tracker() {
    return record_ ? record_->attempts : own_tracker_;
}

void outgoing_call::attempt() {
    const auto now = clock::now();
    const auto left_time = remaining(info_, now) - transit_allowance;
    if (left_time <= milliseconds{0}) {
        if (!open_.empty()) {
            return; // too late for a hedge; the first attempt continues
        }
        finish(make_failure(outcome_kind::not_run, error_kind::expired,
                            "the timeout of the call expired before a target accepted it",
                            "use a longer timeout, or retry when the load is lower"));
        return;
    }
    const bool baseline = node_.config->policy.mode != policy_mode::baobabswitch;
    const auto target = baseline ? choose_round_robin(node_.target_choice, info_.service, tried_)
                                 : choose_target(node_.target_choice, info_.service, tried_, node_.rng, now);
    if (!target) {
        if (!open_.empty()) {
            return;
        }
        finish(make_failure(outcome_kind::not_run, error_kind::no_target,
                            "no target of service \"" + info_.service + "\" is available",
                            "check with baobabswitchctl status that targets of the service are up"));
        return;
    }
    const auto loan = lend_retries(ledger_, node_.invariants);
    info_.call = next_call_id(node_);
    record_call_sent(node_.target_choice, *target);
    record_call_sent(node_.probes, *target, now);
    trace_call(node_, info_.request, info_.call, "target-chosen", *target);
    mark_sent(tracker(), info_.idempotent, node_.invariants);
    const auto peer = node_.target_choice.targets.find(*target)->second.address;
    const auto exchange = node_.peer_client.send(
        peer, make_hop_request(node_, info_, loan, left_time), remaining(info_, now),
        [self = shared_from_this(), target = *target, call = info_.call, loan, now](http_result outcome) {
            self->on_result(target, call, loan, now, std::move(outcome));
        });
    open_.push_back({exchange, peer, info_.call});
    if (!baseline && tried_.empty()) {
        tried_.push_back(*target);
        schedule_hedge(now);
    }
}

/// Schedules a second attempt in case the first one exceeds the 95th percentile latency of its kind.
void outgoing_call::schedule_hedge(time_point now) {
    if (!info_.idempotent || record_ != nullptr) {
        return;
    }
    add_hedge_credit(node_.hedges, node_.config->policy.hedge_percent);
    const auto delay = hedge_delay(node_.hedges, info_.kind);
    if (delay && now + *delay < info_.deadline) {
        hedge_timer_ = node_.loop.schedule(*delay, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->hedge();
            }
        });
    }
}

void outgoing_call::hedge() {
    // During overload, a hedge would occupy a slot that other calls need.
    const bool overloaded = threshold_level(node_.thresholds, info_.service, info_.kind, clock::now()) > 0;
    if (finished_ || cancelled_ || open_.size() != 1 || overloaded || untried_targets() == 0 ||
        remaining_retries(ledger_) == 0 || !take_hedge(node_.hedges) ||
        !take_retry(ledger_, node_.invariants)) {
        return;
    }
    node_.metrics.count_event("hedge");
    trace_call(node_, info_.request, info_.call, "hedge", "no response within the 95th percentile latency");
    attempt();
}

std::size_t outgoing_call::untried_targets() const {
    const auto& targets = node_.target_choice.targets;
    return static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&](const auto& it) {
        return it.second.service == info_.service && it.second.available &&
               std::find(tried_.begin(), tried_.end(), it.first) == tried_.end();
    }));
}

void outgoing_call::on_result(const std::string& target, const std::string& call, unsigned loan,
                              time_point sent_at, http_result outcome) {
    const auto now = clock::now();
    std::erase_if(open_, [&](const auto& it) { return it.call == call; });
    call_outcome parsed;
    std::optional<duration> latency;
    if (auto* response = std::get_if<http_response>(&outcome)) {
        parsed = parse_hop_response(std::move(*response));
        if (parsed.kind == outcome_kind::done &&
            !check(node_.invariants, invariant::whole_answer, is_complete_answer_to(parsed, call),
                   "a response has the id of another call or a wrong length")) {
            parsed = make_failure(outcome_kind::unknown, error_kind::target_garbage,
                                  "the response belongs to another call or is incomplete",
                                  "query the outcome with the request key");
        }
        parsed.spent = std::min(parsed.spent, loan);
        settle_loan(ledger_, loan, parsed.spent, node_.invariants);
        store_thresholds(node_.thresholds, info_.service, target, std::move(parsed.thresholds), clock::now());
        report_to_parent();
        if (parsed.kind == outcome_kind::done) {
            latency = now - sent_at;
            record_latency(node_.hedges, info_.kind, *latency);
        }
    } else {
        const auto& failure = std::get<http_failure>(outcome);
        parsed = failure_outcome(failure);
        // If the response is lost, the whole loan counts as spent.
        settle_loan(ledger_, loan, failure.sent ? loan : 0, node_.invariants);
    }
    const bool lost_to_hedge = finished_ && !cancelled_ && parsed.kind != outcome_kind::done;
    if (const auto usual = hedge_delay(node_.hedges, info_.kind);
        lost_to_hedge && usual && now - sent_at > *usual) {
        // The time until cancellation is a lower bound of the latency.
        latency = now - sent_at;
    }
    const bool failed = parsed.kind == outcome_kind::unknown ||
                        (parsed.cause && parsed.cause->kind == error_kind::target_failed);
    record_call_ended(
        node_.target_choice, target,
        {info_.kind, parsed.kind, failed && !cancelled_ && !lost_to_hedge, latency, parsed.wait},
        clock::now());
    record_call_ended(node_.probes, target, sent_at);
    tried_.push_back(target);
    trace_call(node_, info_.request, call, "attempt-ended",
               target + ": " + std::string{outcome_name(parsed.kind)} +
                   (parsed.cause ? ", " + describe(*parsed.cause) : ""));
    if (parsed.kind == outcome_kind::not_run) {
        mark_not_run(tracker());
    }
    if (finished_ || (parsed.kind != outcome_kind::done && !open_.empty() && !cancelled_)) {
        return; // the outcome is decided by the other attempt
    }
    if (parsed.kind == outcome_kind::not_run) {
        on_not_run(std::move(parsed));
    } else if (parsed.kind == outcome_kind::unknown) {
        on_unknown(std::move(parsed));
    } else {
        finish(std::move(parsed));
    }
}

/// Records the downstream threshold of a child call for reporting to callers of the parent's kind. It is
/// shifted by the difference in importance, so that it refuses the same share of parent calls as of child
/// calls.
void outgoing_call::report_to_parent() {
    if (info_.parent_kind.empty()) {
        return;
    }
    const auto now = clock::now();
    const double level = threshold_level(node_.thresholds, info_.service, info_.kind, now);
    store_child_level(node_.downstream, info_.parent_kind, info_.kind,
                      std::max(0.0, level + info_.parent_importance - info_.importance), now);
}

bool outgoing_call::may_retry() {
    if (cancelled_) {
        return false;
    }
    if (node_.config->policy.mode != policy_mode::baobabswitch) {
        return local_retries_++ < baseline_retries_per_hop;
    }
    if (!take_retry(ledger_, node_.invariants)) {
        return false;
    }
    node_.metrics.count_event("retry");
    trace_call(node_, info_.request, info_.call, "retry",
               std::to_string(remaining_retries(ledger_)) + " retries left");
    return true;
}

void outgoing_call::on_not_run(call_outcome outcome) {
    // The level is the mean over the service's targets; above this importance, the others would probably
    // refuse the call too.
    const bool below =
        threshold_level(node_.thresholds, info_.service, info_.kind, clock::now()) > info_.importance;
    const bool terminal = below || (outcome.cause && outcome.cause->kind == error_kind::expired);
    const auto others = untried_targets();
    const bool baseline = node_.config->policy.mode != policy_mode::baobabswitch;
    if (!terminal && (others > 0 || baseline) && may_retry()) {
        attempt();
        return;
    }
    finish(std::move(outcome));
}

void outgoing_call::on_unknown(call_outcome outcome) {
    if (info_.idempotent && may_retry()) {
        attempt();
        return;
    }
    finish(std::move(outcome));
}

void outgoing_call::finish(call_outcome outcome) {
    if (finished_) {
        return;
    }
    finished_ = true;
    hedge_timer_.cancel();
    if (record_ == nullptr) {
        for (const auto& it : std::vector{open_}) {
            node_.peer_client.cancel(it.exchange);
        }
    }
    if (outcome.kind == outcome_kind::not_run && tracker().unresolved > 0) {
        // An earlier attempt may have run, so "not run" can't be guaranteed for the request.
        outcome.kind = outcome_kind::unknown;
    }
    outcome.spent = ledger_.spent + ledger_.lent;
    on_done_(std::move(outcome));
}

} // namespace baobabswitch
