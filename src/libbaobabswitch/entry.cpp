#include "entry.h"

#include "outgoingcall.h"
#include "peermessages.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabswitch {

namespace {

constexpr std::uint64_t max_keys_per_request = 1000;
constexpr std::string_view call_prefix = "/v1/call/";

struct parsed_call {
    call_info info;
    std::string parent;
    std::string child_label;
    std::string key;
};

error spoofed(std::string_view name) {
    return {error_kind::spoofed_header, "the header " + std::string{name} + " is reserved for nodes",
            "send the call without it"};
}

result<milliseconds> parse_timeout(const http_headers& headers, const kind_config& kind) {
    const auto text = find_header(headers, "Baobab-Timeout-Ms");
    if (!text) {
        return kind.timeout;
    }
    const auto n = parse_number(*text);
    if (!n || *n == 0) {
        return error{error_kind::bad_timeout, "Baobab-Timeout-Ms is \"" + std::string{*text} + "\"",
                     "send a whole number of milliseconds, at least 1, or leave the header out"};
    }
    return std::min(kind.timeout, milliseconds{static_cast<std::int64_t>(std::min<std::uint64_t>(
                                      *n, static_cast<std::uint64_t>(kind.timeout.count())))});
}

result<parsed_call> parse_call(const node_state& node, http_request& request, time_point now) {
    if (has_header_prefix(request.headers, "Baobab-Internal-")) {
        return spoofed("Baobab-Internal-*");
    }
    if (has_header_prefix(request.headers, "Baobab-Mac")) {
        return spoofed("Baobab-Mac");
    }
    const auto rest = std::string_view{request.target}.substr(call_prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    parsed_call call;
    auto& info = call.info;
    info.service = rest.substr(0, slash);
    info.path = slash == rest.size() ? "/" : std::string{rest.substr(slash)};
    info.kind = header_or_empty(request.headers, "Baobab-Kind");
    const auto kind = node.config->kinds.find(info.kind);
    if (kind == node.config->kinds.end()) {
        return error{error_kind::unknown_kind, "the price list has no kind \"" + info.kind + "\"",
                     "send Baobab-Kind with a kind of the price list (baobabswitchctl get)"};
    }
    if (info.service != kind->second.service) {
        return error{error_kind::unknown_service,
                     "kind \"" + info.kind + "\" is not served by \"" + info.service + "\"",
                     "call service \"" + kind->second.service + "\""};
    }
    const auto timeout = parse_timeout(request.headers, kind->second);
    if (!timeout) {
        return timeout.error();
    }
    info.importance = kind->second.importance;
    info.idempotent = kind->second.idempotent;
    info.cancellable = kind->second.cancellable;
    info.deadline = now + timeout.value();
    info.body = std::move(request.body);
    call.parent = header_or_empty(request.headers, "Baobab-Parent");
    call.child_label = header_or_empty(request.headers, "Baobab-Child");
    call.key = header_or_empty(request.headers, "Baobab-Key");
    return call;
}

void refuse(node_state& node, http_exchange& exchange, std::string_view kind, error cause) {
    node.metrics.count_event(error_name(cause.kind));
    node.metrics.count_call(kind, outcome_kind::not_run, error_name(cause.kind), 0);
    call_outcome outcome;
    outcome.kind = outcome_kind::not_run;
    outcome.cause = std::move(cause);
    exchange.respond(make_caller_response(std::move(outcome), ""));
}

/// Joins a child call to its parent at this node: same request, its share of the retries, no more time.
result<retry_ledger> join_parent(node_state& node, parsed_call& call) {
    const auto found = node.calls.find(call.parent);
    if (found == node.calls.end() || !found->second.sent) {
        return error{error_kind::unknown_parent,
                     "no call \"" + call.parent + "\" is running at this node's target",
                     "send child calls only while their parent runs, through the node on the same VM"};
    }
    auto& parent = found->second;
    if (!call.info.idempotent) {
        if (call.child_label.empty()) {
            return error{error_kind::key_required, "a non-idempotent child call needs a label",
                         "send Baobab-Child with a label that is unique within the parent call"};
        }
        if (!parent.child_labels.insert(call.child_label).second) {
            return error{error_kind::bad_key, "child call \"" + call.child_label + "\" was sent before",
                         "use each label once"};
        }
    }
    call.info.request = parent.info.request;
    call.info.depth = parent.info.depth + 1;
    call.info.parent_kind = parent.info.kind;
    call.info.parent_importance = parent.info.importance;
    call.info.deadline = std::min(call.info.deadline, parent.info.deadline);
    call.info.importance = std::max(call.info.importance, parent.info.importance);
    retry_ledger ledger;
    ledger.granted = lend(parent.ledger, node.invariants);
    return ledger;
}

/// Starts the record of a keyed request.
result<key_record*> begin_keyed(node_state& node, const std::string& key) {
    const auto parsed = parse_key(key, node.settings.keys);
    if (!parsed) {
        return parsed.error();
    }
    if (parsed.value().node != node.settings.node_id) {
        return error{error_kind::key_owner_unreachable, "node \"" + parsed.value().node + "\" issued the key",
                     "send the call to that node"};
    }
    if (parsed.value().incarnation != node.incarnation) {
        return error{error_kind::key_owner_gone, "the node that issued the key has been replaced",
                     "check the outcome with the service before sending the request with a new key"};
    }
    const auto found = node.keys.records.find(key);
    if (found == node.keys.records.end()) {
        return error{error_kind::bad_key, "the key has expired", "get a new key from POST /v1/keys"};
    }
    auto& record = found->second;
    if (record.state != key_state::issued && record.state != key_state::not_run) {
        return error{error_kind::bad_key, "a request with this key was sent before", "wait for its answer"};
    }
    record.state = key_state::running;
    return &record;
}

key_state state_after(outcome_kind kind) {
    switch (kind) {
    case outcome_kind::done:
        return key_state::done;
    case outcome_kind::not_run:
        return key_state::not_run;
    case outcome_kind::promised:
        return key_state::promised;
    case outcome_kind::unknown:
        break;
    }
    return key_state::unknown;
}

} // namespace

void handle_call(node_state& node, http_request request, const std::shared_ptr<http_exchange>& exchange) {
    const auto now = clock::now();
    auto parsed = parse_call(node, request, now);
    if (!parsed) {
        refuse(node, *exchange, "", parsed.error());
        return;
    }
    auto& call = parsed.value();
    retry_ledger ledger;
    if (!call.parent.empty()) {
        const auto joined = join_parent(node, call);
        if (!joined) {
            refuse(node, *exchange, call.info.kind, joined.error());
            return;
        }
        ledger = joined.value();
    } else {
        if (node.draining) {
            refuse(node, *exchange, call.info.kind,
                   {error_kind::draining, "this node is shutting down", "send the call to another node"});
            return;
        }
        if (call.key.empty() && !call.info.idempotent) {
            refuse(node, *exchange, call.info.kind,
                   {error_kind::key_required,
                    "kind \"" + call.info.kind + "\" is not idempotent and needs a key",
                    "get a key from POST /v1/keys and send it as Baobab-Key"});
            return;
        }
        if (!call.key.empty()) {
            const auto begun = begin_keyed(node, call.key);
            if (!begun) {
                refuse(node, *exchange, call.info.kind, begun.error());
                return;
            }
        }
        call.info.request = call.key.empty() ? next_call_id(node) : call.key;
        ledger.granted = node.config->policy.retry_budget;
    }

    ++node.entering;
    const auto kind = call.info.kind;
    const auto request_id = call.info.request;
    auto outgoing = std::make_shared<outgoing_call>(
        node, std::move(call.info), ledger,
        [&node, exchange, now, kind, request_id, key = call.key, parent = call.parent,
         loan = ledger.granted](call_outcome outcome) {
            --node.entering;
            if (const auto it = node.calls.find(parent); it != node.calls.end()) {
                give_back(it->second.ledger, loan, outcome.spent, node.invariants);
                it->second.child_time += clock::now() - now;
            }
            if (const auto it = node.keys.records.find(key); it != node.keys.records.end()) {
                it->second.state = state_after(outcome.kind);
                it->second.outcome = outcome;
            }
            const auto seconds = std::chrono::duration<double>(clock::now() - now).count();
            node.metrics.count_call(kind, outcome.kind, outcome.cause ? error_name(outcome.cause->kind) : "",
                                    seconds);
            exchange->respond(make_caller_response(std::move(outcome), request_id));
        });
    exchange->on_abandoned([weak = std::weak_ptr{outgoing}] {
        if (const auto it = weak.lock()) {
            it->cancel();
        }
    });
    outgoing->start();
}

void handle_issue_keys(node_state& node, const http_request& request, http_exchange& exchange) {
    const auto count = parse_number(query_parameter(request.target, "count").value_or("1"));
    if (!count || *count == 0 || *count > max_keys_per_request) {
        refuse(
            node, exchange, "",
            {error_kind::malformed, "the query parameter count is out of range", "ask for 1 to 1000 keys"});
        return;
    }
    auto keys = nlohmann::json::array();
    for (std::uint64_t n = 0; n < *count; ++n) {
        auto key =
            issue_key(node.keys, node.settings.node_id, node.incarnation, node.settings.keys, clock::now());
        if (!key) {
            refuse(node, exchange, "", key.error());
            return;
        }
        keys.push_back(std::move(key.value()));
    }
    exchange.respond(json_response(200, nlohmann::json{{"keys", std::move(keys)}}.dump()));
}

} // namespace baobabswitch
