#include "keyowner.h"

#include "peermessages.h"
#include "promisedcalls.h"

namespace baobabswitch {

namespace {

constexpr std::string_view key_prefix = "/n/key/";
constexpr std::string_view outcomes_prefix = "/v1/outcomes/";

/// Subtracted from the timeout sent to the owner, so that its response arrives before this node times out.
constexpr milliseconds transit_allowance{2};
constexpr milliseconds outcome_timeout{2000};

call_outcome owner_gone() {
    return make_failure(outcome_kind::unknown, error_kind::key_owner_gone,
                        "the node that issued the key has been replaced",
                        "check the outcome with the service before sending the request with a new key");
}

call_outcome owner_unreachable(const std::string& node, const std::string& detail) {
    return make_failure(outcome_kind::unknown, error_kind::key_owner_unreachable,
                        "node \"" + node + "\", which issued the key, is unreachable: " + detail,
                        "repeat the request with the same key later");
}

/// Returns the address of a key's owner, or the outcome to report if it can't be contacted.
std::variant<endpoint, call_outcome> find_owner(const node_state& node, const request_key& key) {
    if (key.node == node.settings.node_id) {
        return owner_gone();
    }
    const auto found = node.members.find(key.node);
    if (found == node.members.end()) {
        return owner_unreachable(key.node, "it is not a known member");
    }
    if (found->second.incarnation > key.incarnation) {
        return owner_gone();
    }
    return found->second.address;
}

/// Converts the response of a key's owner, or the failure to get one, to an outcome.
call_outcome parse_owner_result(const std::string& owner, http_result result) {
    if (auto* response = std::get_if<http_response>(&result)) {
        return parse_hop_response(std::move(*response));
    }
    const auto& failure = std::get<http_failure>(result);
    if (failure.kind == http_failure_kind::timeout && failure.sent) {
        return make_failure(outcome_kind::unknown, error_kind::timeout,
                            "the key's owner did not respond within the timeout",
                            "query the outcome with the request key");
    }
    if (failure.kind == http_failure_kind::cancelled) {
        return make_failure(outcome_kind::unknown, error_kind::cancelled,
                            "the call was cancelled before the key's owner responded",
                            "query the outcome with the request key");
    }
    return owner_unreachable(owner, failure.detail);
}

/// Returns the outcome in the record of a key that this node issued.
call_outcome local_outcome(const node_state& node, const std::string& key) {
    const auto found = node.keys.records.find(key);
    if (found == node.keys.records.end()) {
        return make_failure(outcome_kind::unknown, error_kind::bad_key,
                            "the key has expired; keys are valid for 10 minutes", "check with the service");
    }
    return recorded_outcome(*found->second);
}

bool is_owner(const node_state& node, const request_key& key) {
    return key.node == node.settings.node_id && key.incarnation == node.incarnation;
}

} // namespace

void forward_to_owner(node_state& node, const request_key& owner, entry_call call) {
    auto found = find_owner(node, owner);
    if (auto* outcome = std::get_if<call_outcome>(&found)) {
        refuse_entry(node, call, outcome->kind, *outcome->cause);
        return;
    }
    const auto left_time = std::chrono::duration_cast<milliseconds>(call.info.deadline - clock::now());
    if (left_time <= transit_allowance) {
        refuse_entry(node, call, outcome_kind::unknown,
                     {error_kind::expired, "the timeout expired before the key's owner was contacted",
                      "repeat the request with the same key and a longer timeout"});
        return;
    }
    ++node.pending_entries;
    node.metrics.count_event("key-forwarded");
    trace_call(node, call.info.request, "", "forwarded", "to the key's owner " + owner.node);
    auto message = make_key_request(node, call.info, call.key, left_time - transit_allowance);
    call.info.body.clear();
    const auto shared = std::make_shared<entry_call>(std::move(call));
    const auto exchange = node.peer_client.send(
        std::get<endpoint>(found), std::move(message), left_time,
        [&node, shared, name = owner.node](http_result result) {
            --node.pending_entries;
            send_entry_outcome(node, *shared, parse_owner_result(name, std::move(result)));
        });
    // The owner detects the closed connection and decides whether to cancel the request.
    shared->exchange->on_abandoned([&node, exchange] { node.peer_client.cancel(exchange); });
}

void handle_key_message(node_state& node, http_request request,
                        const std::shared_ptr<http_exchange>& exchange) {
    const std::string key{std::string_view{request.target}.substr(key_prefix.size())};
    const auto parsed = parse_key(key, node.settings.keys);
    if (!parsed || !is_owner(node, parsed.value())) {
        exchange->respond(
            make_hop_response(parsed ? owner_gone()
                                     : make_failure(outcome_kind::unknown, error_kind::bad_key,
                                                    parsed.error().message, parsed.error().remedy)));
        return;
    }
    if (request.method == "GET") {
        exchange->respond(make_hop_response(local_outcome(node, key)));
        return;
    }
    const auto now = clock::now();
    auto info = read_call(node, header_or_empty(request.headers, "Baobab-Internal-Target"),
                          header_or_empty(request.headers, "Baobab-Internal-Kind"),
                          find_header(request.headers, "Baobab-Internal-Timeout-Ms"), now);
    entry_call call;
    if (info) {
        call.info = std::move(info.value());
    }
    call.info.request = key;
    call.info.body = std::move(request.body);
    call.key = key;
    call.from_peer = true;
    call.exchange = exchange;
    call.arrived = now;
    if (!info) {
        refuse_entry(node, call, outcome_kind::unknown, info.error());
        return;
    }
    start_entry(node, std::move(call));
}

void handle_outcome(node_state& node, const http_request& request,
                    const std::shared_ptr<http_exchange>& exchange) {
    const std::string key{path_of(request.target).substr(outcomes_prefix.size())};
    const auto respond = [exchange, key](call_outcome outcome) {
        exchange->respond(make_caller_response(std::move(outcome), key));
    };
    const auto parsed = parse_key(key, node.settings.keys);
    if (!parsed) {
        node.metrics.count_event(error_name(parsed.error().kind));
        respond(make_failure(outcome_kind::not_run, parsed.error().kind, parsed.error().message,
                             parsed.error().remedy));
        return;
    }
    // If the owner has no outcome, the key may belong to a promised call stored on the platform.
    const auto respond_or_find_promise = [&node, key, respond](call_outcome outcome) {
        if (outcome.kind == outcome_kind::unknown) {
            find_promised_outcome(node, key, std::move(outcome), respond);
        } else {
            respond(std::move(outcome));
        }
    };
    if (is_owner(node, parsed.value())) {
        respond_or_find_promise(local_outcome(node, key));
        return;
    }
    auto found = find_owner(node, parsed.value());
    if (auto* outcome = std::get_if<call_outcome>(&found)) {
        respond_or_find_promise(std::move(*outcome));
        return;
    }
    node.peer_client.send(
        std::get<endpoint>(found), make_peer_request(node, "GET", std::string{key_prefix} + key, {}, ""),
        outcome_timeout, [respond_or_find_promise, name = parsed.value().node](http_result result) {
            respond_or_find_promise(parse_owner_result(name, std::move(result)));
        });
}

} // namespace baobabswitch
