#include "promisedcalls.h"

#include "outgoingcall.h"
#include "wallclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace baobabswitch {

namespace {

/// Pause of a service's promised calls after one of its calls was not run.
constexpr std::chrono::seconds refusal_pause{1};
constexpr std::chrono::seconds adoption_period{10};
constexpr milliseconds default_timeout{5000};
constexpr double min_concurrency = 1;
constexpr double max_concurrency = 20; ///< promised calls of one service that this node runs at the same time

call_outcome promised_outcome(const std::string& key) {
    call_outcome outcome;
    outcome.kind = outcome_kind::promised;
    outcome.response.headers = {{"Content-Type", "application/json"}, {"Baobab-Key", key}};
    outcome.response.body = nlohmann::json{{"promised", key}, {"outcome", "/v1/outcomes/" + key}}.dump();
    return outcome;
}

call_outcome outcome_of(const promise_item& item) {
    if (item.state == promise_state::done) {
        call_outcome outcome;
        outcome.kind = outcome_kind::done;
        outcome.response = {item.status, {{"Content-Type", "application/json"}}, item.answer};
        return outcome;
    }
    if (item.state == promise_state::expired) {
        return make_failure(outcome_kind::not_run, error_kind::expired,
                            "the promised call was not run within its patience", "send the request again");
    }
    if (item.state == promise_state::unknown) {
        return make_failure(outcome_kind::unknown, error_kind::outcome_unknown,
                            "the node that ran the promised call failed before it recorded the outcome",
                            "check the outcome with the service");
    }
    return promised_outcome(item.key);
}

/// Reports whether this node looks for orphaned batches: it has the least id among the live nodes of its
/// failure domain. If two nodes both do so, they make redundant platform calls, but adoption stays correct
/// because it is a conditional write.
bool looks_for_orphans(const node_state& node) {
    return std::none_of(node.members.begin(), node.members.end(), [&](const auto& it) {
        return it.second.domain == node.settings.domain && it.first < node.settings.node_id &&
               it.second.state != target_state::down;
    });
}

void adopt_orphaned_batches(node_state& node) {
    std::set<std::string> live;
    for (const auto& [name, it] : node.members) {
        if (it.state != target_state::down) {
            live.insert(name + "." + std::to_string(it.incarnation));
        }
    }
    node.promises->adopt_orphaned_batches(std::move(live));
}

} // namespace

bool may_promise(const node_state& node, const entry_call& call, const call_outcome& outcome) {
    if (node.promises == nullptr || !call.parent.empty() || outcome.kind != outcome_kind::not_run ||
        node.config->policy.mode != policy_mode::baobabswitch) {
        return false;
    }
    const auto kind = node.config->kinds.find(call.info.kind);
    if (kind == node.config->kinds.end() || kind->second.patience <= milliseconds{0}) {
        return false;
    }
    switch (outcome.cause ? outcome.cause->kind : error_kind::internal) {
    case error_kind::overloaded:
    case error_kind::shed:
    case error_kind::expired:
    case error_kind::no_target:
    case error_kind::target_failed:
    case error_kind::draining:
        return true;
    default:
        return false;
    }
}

void promise_call(node_state& node, entry_call& call, call_outcome not_run,
                  std::function<void(call_outcome)> on_decided) {
    if (call.key.empty()) {
        auto key =
            issue_key(node.keys, node.settings.node_id, node.incarnation, node.settings.keys, clock::now());
        if (!key) {
            on_decided(std::move(not_run));
            return;
        }
        call.key = std::move(key.value());
        call.info.request = call.key;
        call.record = node.keys.records.at(call.key);
        call.record->fingerprint = request_fingerprint(call.info);
    }
    promise_item item;
    item.key = call.key;
    item.service = call.info.service;
    item.path = call.info.path;
    item.kind = call.info.kind;
    item.body = call.info.body;
    item.importance = call.info.importance;
    item.idempotent = call.info.idempotent;
    const auto patience = node.config->kinds.find(call.info.kind)->second.patience;
    item.expires_ms = wall_clock_ms() + static_cast<std::uint64_t>(patience.count());
    node.promises->promise(std::move(item), [&node, key = call.key, not_run = std::move(not_run),
                                             fn = std::move(on_decided)](promise_write written) {
        switch (written) {
        case promise_write::stored:
            node.metrics.count_event("promised");
            fn(promised_outcome(key));
            return;
        case promise_write::not_stored:
            node.metrics.count_event("promise-refused");
            fn(not_run);
            return;
        case promise_write::unknown:
            break;
        }
        node.metrics.count_event("promise-unknown");
        fn(make_failure(outcome_kind::unknown, error_kind::outcome_unknown,
                        "the platform did not confirm whether the promised call is stored",
                        "ask GET /v1/outcomes with the request key"));
    });
}

void run_promised(node_state& node, promise_item item) {
    call_info info;
    info.request = item.key;
    info.service = item.service;
    info.path = item.path;
    info.kind = item.kind;
    info.body = std::move(item.body);
    info.importance = static_cast<importance_level>(std::max(0, item.importance - 1));
    info.idempotent = item.idempotent;
    info.cancellable = item.idempotent;
    const auto kind = node.config->kinds.find(item.kind);
    info.deadline =
        clock::now() + (kind == node.config->kinds.end() ? default_timeout : kind->second.timeout);
    const auto found = node.keys.records.find(item.key);
    const auto record = found == node.keys.records.end() ? std::make_shared<key_record>() : found->second;
    auto& limit = node.replay_limits[item.service];
    ++limit.running;
    ++node.pending_entries;
    trace_call(node, item.key, "", "promise-started", "attempt " + std::to_string(item.attempts));
    const auto outgoing = std::make_shared<outgoing_call>(
        node, std::move(info), retry_ledger{}, record,
        [&node, record, key = item.key, service = item.service](call_outcome outcome) {
            --node.pending_entries;
            auto& it = node.replay_limits[service];
            it.running -= std::min(it.running, 1U);
            const bool ran = outcome.kind == outcome_kind::done;
            it.max_running = ran ? std::min(it.max_running + 1, max_concurrency)
                                 : std::max(it.max_running / 2, min_concurrency);
            if (outcome.kind == outcome_kind::not_run) {
                it.paused_until = clock::now() + refusal_pause;
            } else {
                end_run(node.keys, record, outcome, node.invariants);
            }
            node.metrics.count_event(ran ? "promise-kept" : "promise-deferred");
            trace_call(node, key, "", "promise-ended", std::string{outcome_name(outcome.kind)});
            node.promises->report_outcome(key, std::move(outcome));
        });
    outgoing->start();
}

void tick_promises(node_state& node, time_point now) {
    if (node.promises == nullptr) {
        return;
    }
    std::map<std::string, std::size_t> spare;
    for (const auto& [service, n] : node.promises->waiting()) {
        auto& limit = node.replay_limits[service];
        const auto allowed = static_cast<unsigned>(limit.max_running);
        if (now >= limit.paused_until && limit.running < allowed && !node.draining) {
            spare[service] = std::min<std::size_t>(n, allowed - limit.running);
        }
    }
    if (!spare.empty()) {
        node.promises->claim_waiting(std::move(spare));
    }
    if (now >= node.next_adoption && !node.draining) {
        node.next_adoption = now + adoption_period;
        if (looks_for_orphans(node)) {
            adopt_orphaned_batches(node);
        }
    }
}

void note_live_outcome(node_state& node, std::string_view service, outcome_kind outcome, time_point now) {
    if (node.promises != nullptr && outcome == outcome_kind::not_run) {
        node.replay_limits[std::string{service}].paused_until = now + refusal_pause;
    }
}

void find_promised_outcome(node_state& node, const std::string& key, call_outcome otherwise,
                           std::function<void(call_outcome)> on_found) {
    if (node.promises == nullptr) {
        on_found(std::move(otherwise));
        return;
    }
    node.promises->find(
        key, [otherwise = std::move(otherwise), fn = std::move(on_found)](const result<promise_item>& found) {
            fn(found ? outcome_of(found.value()) : otherwise);
        });
}

} // namespace baobabswitch
