#include "entry.h"

#include "keyowner.h"
#include "outgoingcall.h"
#include "peermessages.h"
#include "promisedcalls.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace baobabswitch {

namespace {

constexpr std::uint64_t max_keys_per_request = 1000;
constexpr std::size_t max_name_length = 64;
/// Leaves room for the internal headers within the 16 KiB header limit of a hop.
constexpr std::size_t max_path_length = 4096;
/// Call chains are at most 24 deep by design; a chain deeper than this limit indicates a cycle.
constexpr unsigned max_depth = 64;
constexpr std::size_t max_labels = 1000; ///< per parent call
constexpr std::string_view call_prefix = "/v1/call/";

/// Headers that control a call. A second value could be interpreted differently by different parsers.
constexpr std::array<std::string_view, 5> unrepeatable_headers{"Baobab-Kind", "Baobab-Timeout-Ms",
                                                               "Baobab-Key", "Baobab-Parent", "Baobab-Child"};

result<void> check_headers(const http_headers& headers) {
    for (const auto name : unrepeatable_headers) {
        const auto n = std::count_if(headers.begin(), headers.end(), [&](const auto& it) {
            return it.first.size() == name.size() && has_header_prefix({it}, name);
        });
        if (n > 1) {
            return error{error_kind::malformed, "header " + std::string{name} + " occurs more than once",
                         "send the header once"};
        }
    }
    return success();
}

result<milliseconds> parse_timeout(std::optional<std::string_view> text, const kind_config& kind) {
    if (!text) {
        return kind.timeout;
    }
    const auto n = parse_number(*text);
    if (!n || *n == 0) {
        return error{error_kind::bad_timeout, "Baobab-Timeout-Ms is \"" + std::string{*text} + "\"",
                     "send a whole number of milliseconds, at least 1, or leave the header out"};
    }
    const auto timeout_cap_ms = static_cast<std::uint64_t>(kind.timeout.count());
    return milliseconds{static_cast<std::int64_t>(std::min(*n, timeout_cap_ms))};
}

result<entry_call> parse_call(const node_state& node, http_request& request, time_point now) {
    const auto checked = check_headers(request.headers);
    if (!checked) {
        return checked.error();
    }
    auto info = read_call(node, std::string_view{request.target}.substr(call_prefix.size()),
                          header_or_empty(request.headers, "Baobab-Kind"),
                          find_header(request.headers, "Baobab-Timeout-Ms"), now);
    if (!info) {
        return info.error();
    }
    entry_call call;
    call.info = std::move(info.value());
    call.info.body = std::move(request.body);
    call.parent = header_or_empty(request.headers, "Baobab-Parent");
    call.child_label = header_or_empty(request.headers, "Baobab-Child");
    call.key = header_or_empty(request.headers, "Baobab-Key");
    if (call.child_label.size() > max_name_length) {
        return error{error_kind::malformed, "Baobab-Child is longer than 64 characters",
                     "use a shorter label"};
    }
    return call;
}

/// Registers a repeat of a running request to receive the response of that run.
void wait_for_run(node_state& node, entry_call repeat) {
    auto call = std::make_shared<entry_call>(std::move(repeat));
    const auto record = call->record;
    ++node.pending_entries;
    const auto n = add_waiter(*record, [&node, call](const call_outcome& outcome) {
        --node.pending_entries;
        send_entry_outcome(node, *call, outcome);
    });
    if (n == 0) {
        --node.pending_entries;
        refuse_entry(node, *call, outcome_kind::unknown,
                     {error_kind::overloaded, "too many repeats of this request are waiting",
                      "query GET /v1/outcomes for its outcome later"});
        return;
    }
    trace_call(node, call->info.request, "", "repeat-waits", "the request is running");
    const auto stop_waiting = [&node, weak = std::weak_ptr{record}, n] {
        const auto it = weak.lock();
        if (!it || it->waiters.erase(n) == 0) {
            return false;
        }
        --node.pending_entries;
        if (it->first_caller_disconnected && it->waiters.empty() && it->cancel_run) {
            it->cancel_run();
        }
        return true;
    };
    call->exchange->on_abandoned([stop_waiting] { stop_waiting(); });
    node.loop.schedule(call->info.deadline - clock::now(), [&node, call, stop_waiting] {
        if (stop_waiting()) {
            send_entry_outcome(node, *call,
                               make_failure(outcome_kind::unknown, error_kind::timeout,
                                            "the request was still running when the repeat's timeout expired",
                                            "query the outcome with the request key"));
        }
    });
}

/// Updates the record of a call, then responds to the caller and to the waiting repeats.
void complete_entry(node_state& node, const entry_call& call, call_outcome outcome) {
    --node.pending_entries;
    std::vector<std::function<void(const call_outcome&)>> waiters;
    if (call.record) {
        waiters = end_run(node.keys, call.record, outcome, node.invariants);
    }
    for (const auto& it : waiters) {
        it(outcome);
    }
    send_entry_outcome(node, call, std::move(outcome));
}

/// Handles the outcome of an outgoing call: returns unused retries, and stores the call as a promised call if
/// it did not run and its kind allows later execution.
void settle_entry(node_state& node, const std::shared_ptr<entry_call>& ended, call_outcome outcome) {
    auto& call = *ended;
    if (const auto it = node.calls.find(call.parent); it != node.calls.end()) {
        settle_loan(it->second.ledger, call.loan, outcome.spent, node.invariants);
        it->second.child_time += clock::now() - call.arrived;
    }
    if (call.record && !call.key.empty()) {
        settle_loan(call.record->ledger, call.loan, outcome.spent, node.invariants);
    }
    note_live_outcome(node, call.info.service, outcome.kind, clock::now());
    if (may_promise(node, call, outcome)) {
        promise_call(node, call, std::move(outcome), [&node, ended](call_outcome decided) {
            complete_entry(node, *ended, std::move(decided));
        });
        return;
    }
    complete_entry(node, call, std::move(outcome));
}

/// Sends a call to the targets of its service.
void run_entry(node_state& node, entry_call started) {
    ++node.pending_entries;
    auto call = std::make_shared<entry_call>(std::move(started));
    trace_call(node, call->info.request, "", "arrived",
               call->info.kind + ", " + std::to_string(call->loan) + " retries granted");
    retry_ledger ledger;
    ledger.granted = call->loan;
    auto info = call->info;
    if (const auto kind = node.config->kinds.find(call->info.kind);
        kind == node.config->kinds.end() || kind->second.patience <= milliseconds{0}) {
        call->info.body.clear(); // The body is needed later only if the call may be promised.
    }
    const auto outgoing = std::make_shared<outgoing_call>(
        node, std::move(info), ledger, call->record,
        [&node, call](call_outcome outcome) { settle_entry(node, call, std::move(outcome)); });
    const auto cancel = [weak = std::weak_ptr{outgoing}] {
        if (const auto it = weak.lock()) {
            it->cancel();
        }
    };
    if (const auto it = node.calls.find(call->parent); it != node.calls.end()) {
        auto& children = it->second.children;
        std::erase_if(children, [](const auto& child) { return child.expired(); });
        children.push_back(outgoing);
    }
    if (call->record) {
        call->record->cancel_run = cancel;
        call->exchange->on_abandoned([weak = std::weak_ptr{call->record}] {
            const auto it = weak.lock();
            if (!it) {
                return;
            }
            it->first_caller_disconnected = true;
            if (it->waiters.empty() && it->cancel_run) {
                it->cancel_run();
            }
        });
    } else {
        call->exchange->on_abandoned(cancel);
    }
    outgoing->start();
}

/// Handles a call that has a record: runs it, waits for the current run, or responds from the record.
void start_recorded(node_state& node, entry_call call, retry_ledger& ledger, bool accepting) {
    auto arrival =
        register_arrival(*call.record, ledger, request_fingerprint(call.info), accepting, node.invariants);
    switch (arrival.action) {
    case arrival_action::respond:
        trace_call(node, call.info.request, "", "answered-from-record",
                   std::string{key_state_name(call.record->state)});
        send_entry_outcome(node, call, std::move(arrival.outcome));
        return;
    case arrival_action::wait:
        wait_for_run(node, std::move(call));
        return;
    case arrival_action::run:
        break;
    }
    call.loan =
        call.key.empty() ? lend_retries(ledger, node.invariants) : lend_all_retries(ledger, node.invariants);
    run_entry(node, std::move(call));
}

/// Starts a child call. It inherits the request id of its parent, gets part of its retries, and its deadline
/// is not later than the parent's.
void start_child(node_state& node, entry_call call) {
    call.key.clear();
    const auto found = node.calls.find(call.parent);
    if (found == node.calls.end() || !found->second.sent) {
        // A labelled child call may have run before the parent call was removed.
        refuse_entry(
            node, call, call.info.idempotent ? outcome_kind::not_run : outcome_kind::unknown,
            {error_kind::unknown_parent,
             "no call \"" + call.parent.substr(0, max_name_length) + "\" is running at this node's target",
             "send child calls only while their parent runs, through the node on the same VM"});
        return;
    }
    auto& parent = found->second;
    call.info.request = parent.info.request;
    call.info.depth = parent.info.depth + 1;
    call.info.parent_kind = parent.info.kind;
    call.info.parent_importance = parent.info.importance;
    call.info.deadline = std::min(call.info.deadline, parent.info.deadline);
    call.info.importance = std::max(call.info.importance, parent.info.importance);
    if (parent.cancelled) {
        refuse_entry(
            node, call, call.info.idempotent ? outcome_kind::not_run : outcome_kind::unknown,
            {error_kind::cancelled, "the parent call was cancelled", "stop processing the parent call"});
        return;
    }
    if (call.info.depth > max_depth) {
        refuse_entry(node, call, outcome_kind::not_run,
                     {error_kind::malformed, "the call chain is deeper than 64",
                      "check for a cycle in the call graph"});
        return;
    }
    if (call.info.idempotent) {
        call.loan = lend_retries(parent.ledger, node.invariants);
        run_entry(node, std::move(call));
        return;
    }
    if (call.child_label.empty()) {
        refuse_entry(node, call, outcome_kind::not_run,
                     {error_kind::key_required, "a non-idempotent child call needs a label",
                      "send Baobab-Child with a label that is unique within the parent call"});
        return;
    }
    auto& record = parent.labelled_children[call.child_label];
    if (!record) {
        if (parent.labelled_children.size() > max_labels) {
            parent.labelled_children.erase(call.child_label);
            refuse_entry(node, call, outcome_kind::not_run,
                         {error_kind::overloaded,
                          "the parent call has reached the limit of 1000 labelled child calls",
                          "use fewer child calls"});
            return;
        }
        record = std::make_shared<key_record>();
    }
    call.record = record;
    start_recorded(node, std::move(call), parent.ledger, true);
}

void start_keyed(node_state& node, entry_call call) {
    call.info.request = call.key;
    const auto found = node.keys.records.find(call.key);
    if (found == node.keys.records.end()) {
        refuse_entry(node, call, outcome_kind::unknown,
                     {error_kind::bad_key, "the key has expired; keys are valid for 10 minutes",
                      "check the outcome with the service, then get a new key from POST /v1/keys"});
        return;
    }
    call.record = found->second;
    auto& ledger = call.record->ledger;
    if (call.record->state == key_state::issued) {
        ledger.granted = node.config->policy.retry_budget;
    }
    start_recorded(node, std::move(call), ledger, !node.draining);
}

} // namespace

result<call_info> read_call(const node_state& node, std::string_view target, std::string_view kind,
                            std::optional<std::string_view> timeout, time_point now) {
    if (target.size() > max_path_length) {
        return error{error_kind::too_large, "the path is longer than 4096 characters",
                     "send long data in the body"};
    }
    const auto slash = std::min(target.find_first_of("/?"), target.size());
    call_info info;
    info.service = target.substr(0, slash);
    info.path = target.substr(slash);
    if (!info.path.starts_with('/')) {
        info.path.insert(0, "/");
    }
    info.kind = kind.substr(0, max_name_length);
    const auto found = node.config->kinds.find(kind);
    if (found == node.config->kinds.end()) {
        return error{error_kind::unknown_kind, "the configuration has no kind \"" + info.kind + "\"",
                     "send Baobab-Kind with a configured kind (see baobabswitchctl get)"};
    }
    const auto& config = found->second;
    if (info.service != config.service) {
        return error{error_kind::unknown_service,
                     "kind \"" + info.kind + "\" is not served by \"" +
                         info.service.substr(0, max_name_length) + "\"",
                     "call service \"" + config.service + "\""};
    }
    const auto time = parse_timeout(timeout, config);
    if (!time) {
        return time.error();
    }
    info.importance = config.importance;
    info.idempotent = config.idempotent;
    info.cancellable = config.cancellable;
    info.deadline = now + time.value();
    return info;
}

void send_entry_outcome(node_state& node, const entry_call& call, call_outcome outcome) {
    const auto cause = outcome.cause ? error_name(outcome.cause->kind) : std::string_view{};
    trace_call(node, call.info.request, "", "outcome",
               std::string{outcome_name(outcome.kind)} +
                   (outcome.cause ? ", " + describe(*outcome.cause) : ""));
    if (call.from_peer) {
        call.exchange->respond(make_hop_response(std::move(outcome)));
        return;
    }
    const auto seconds = std::chrono::duration<double>(clock::now() - call.arrived).count();
    node.metrics.count_call(call.info.kind, outcome.kind, cause, seconds);
    call.exchange->respond(make_caller_response(std::move(outcome), call.info.request));
}

void refuse_entry(node_state& node, const entry_call& call, outcome_kind kind, error cause) {
    node.metrics.count_event(error_name(cause.kind));
    call_outcome outcome;
    outcome.kind = kind;
    outcome.cause = std::move(cause);
    send_entry_outcome(node, call, std::move(outcome));
}

void start_entry(node_state& node, entry_call call) {
    if (node.pending_entries >= max_calls) {
        // A keyed or labelled request may have run when it arrived earlier.
        refuse_entry(node, call, call.info.idempotent ? outcome_kind::not_run : outcome_kind::unknown,
                     {error_kind::overloaded, "this node has reached its limit of concurrent calls",
                      "send the call to another node, or try again later"});
        return;
    }
    if (!call.parent.empty()) {
        start_child(node, std::move(call));
        return;
    }
    if (!call.key.empty()) {
        start_keyed(node, std::move(call));
        return;
    }
    if (node.draining) {
        refuse_entry(node, call, outcome_kind::not_run,
                     {error_kind::draining, "this node is shutting down", "send the call to another node"});
        return;
    }
    if (!call.info.idempotent) {
        refuse_entry(node, call, outcome_kind::not_run,
                     {error_kind::key_required,
                      "kind \"" + call.info.kind + "\" is not idempotent and needs a key",
                      "get a key from POST /v1/keys and send it as Baobab-Key"});
        return;
    }
    call.loan = node.config->policy.retry_budget;
    run_entry(node, std::move(call));
}

void handle_call(node_state& node, http_request request, const std::shared_ptr<http_exchange>& exchange) {
    const auto now = clock::now();
    auto parsed = parse_call(node, request, now);
    entry_call call;
    if (parsed) {
        call = std::move(parsed.value());
    }
    call.exchange = exchange;
    call.arrived = now;
    call.info.request = next_call_id(node);
    if (!parsed) {
        refuse_entry(node, call, outcome_kind::not_run, parsed.error());
        return;
    }
    if (call.key.empty() || !call.parent.empty()) {
        start_entry(node, std::move(call));
        return;
    }
    const auto key = parse_key(call.key, node.settings.keys);
    if (!key) {
        refuse_entry(node, call, outcome_kind::not_run, key.error());
        return;
    }
    call.info.request = call.key;
    if (key.value().node == node.settings.node_id && key.value().incarnation == node.incarnation) {
        start_entry(node, std::move(call));
    } else {
        forward_to_owner(node, key.value(), std::move(call));
    }
}

void handle_issue_keys(node_state& node, const http_request& request, http_exchange& exchange) {
    const auto refuse = [&](error cause) {
        node.metrics.count_event(error_name(cause.kind));
        call_outcome outcome;
        outcome.kind = outcome_kind::not_run;
        outcome.cause = std::move(cause);
        exchange.respond(make_caller_response(std::move(outcome), ""));
    };
    if (node.draining) {
        refuse({error_kind::draining, "this node is shutting down", "get keys from another node"});
        return;
    }
    const auto count = parse_number(query_parameter(request.target, "count").value_or("1"));
    if (!count || *count == 0 || *count > max_keys_per_request) {
        refuse(
            {error_kind::malformed, "the query parameter count is out of range", "ask for 1 to 1000 keys"});
        return;
    }
    auto keys = nlohmann::json::array();
    for (std::uint64_t n = 0; n < *count; ++n) {
        auto key =
            issue_key(node.keys, node.settings.node_id, node.incarnation, node.settings.keys, clock::now());
        if (!key) {
            refuse(key.error());
            return;
        }
        keys.push_back(std::move(key.value()));
    }
    exchange.respond(json_response(200, nlohmann::json{{"keys", std::move(keys)}}.dump()));
}

} // namespace baobabswitch
