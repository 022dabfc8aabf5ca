#include "requestkeys.h"

#include "httpmessage.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace baobabswitch {

namespace {

constexpr std::size_t max_keys = 50'000;
constexpr std::chrono::minutes key_lifetime{10};
/// A sweep scans the whole table of up to 50,000 records, which is too expensive for every tick.
constexpr std::chrono::seconds sweep_period{5};
constexpr std::size_t key_mac_digits = 16;
/// Limits the memory used by waiting repeats of one request and the number of copies of its response.
constexpr std::size_t max_waiters = 16;

constexpr std::array<std::string_view, 6> state_names{"issued",  "running", "done",
                                                      "not-run", "unknown", "promised"};

std::string key_mac(std::string_view body, const key_ring& ring) {
    const std::array<std::string_view, 2> parts{"request-key", body};
    return sign(ring, parts).code.substr(0, key_mac_digits);
}

/// Returns whether any key of the ring produced the code, so that request keys stay valid while message keys
/// are rotated.
bool mac_matches(std::string_view body, std::string_view code, const key_ring& ring) {
    key_ring other = ring;
    return std::any_of(ring.keys.begin(), ring.keys.end(), [&](const message_key& it) {
        other.active = it.id;
        return key_mac(body, other) == code;
    });
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

std::size_t response_bytes(const http_response& response) {
    // Includes the size of the entry in the list of retained responses.
    std::size_t sum = sizeof(retained_response) + response.body.size();
    for (const auto& [name, value] : response.headers) {
        sum += name.size() + value.size();
    }
    return sum;
}

error bad_key(std::string message) {
    return {error_kind::bad_key, std::move(message), "get a key from POST /v1/keys and send it unchanged"};
}

} // namespace

result<std::string> issue_key(key_table& table, std::string_view node, std::uint64_t incarnation,
                              const key_ring& ring, time_point now) {
    if (table.records.size() >= max_keys) {
        return error{error_kind::overloaded, "this node has reached its limit of request keys",
                     "use another node, or wait for keys to expire"};
    }
    const auto body =
        std::string{node} + "." + std::to_string(incarnation) + "." + std::to_string(++table.last_serial);
    auto key = body + "." + key_mac(body, ring);
    auto record = std::make_shared<key_record>();
    record->issued = now;
    table.records.emplace(key, std::move(record));
    return key;
}

result<request_key> parse_key(std::string_view text, const key_ring& ring) {
    const auto mac_dot = text.rfind('.');
    if (mac_dot == std::string_view::npos || text.size() > 256) {
        return bad_key("the request key is malformed");
    }
    const auto body = text.substr(0, mac_dot);
    const auto serial_dot = body.rfind('.');
    const auto incarnation_dot =
        serial_dot == std::string_view::npos ? serial_dot : body.rfind('.', serial_dot - 1);
    if (incarnation_dot == std::string_view::npos) {
        return bad_key("the request key is malformed");
    }
    const auto incarnation = parse_number(body.substr(incarnation_dot + 1, serial_dot - incarnation_dot - 1));
    const auto serial = parse_number(body.substr(serial_dot + 1));
    if (!incarnation || !serial || !mac_matches(body, text.substr(mac_dot + 1), ring)) {
        return bad_key("no node of this system issued the request key");
    }
    return request_key{std::string{body.substr(0, incarnation_dot)}, *incarnation, *serial};
}

void expire_keys(key_table& table, time_point now) {
    if (now < table.next_sweep) {
        return;
    }
    table.next_sweep = now + sweep_period;
    std::erase_if(table.records, [&](const auto& it) {
        return it.second->state != key_state::running && now - it.second->issued > key_lifetime;
    });
    std::erase_if(table.retained, [&](const retained_response& it) {
        if (!it.record.expired()) {
            return false;
        }
        table.retained_bytes -= it.bytes;
        return true;
    });
}

std::string_view key_state_name(key_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

void mark_sent(attempt_tracker& tracker, bool idempotent, invariant_table& invariants) {
    check(invariants, invariant::at_most_once, idempotent || tracker.unresolved == 0,
          "a non-idempotent request was sent although an earlier attempt may have run");
    ++tracker.unresolved;
}

void mark_not_run(attempt_tracker& tracker) {
    tracker.unresolved -= std::min(tracker.unresolved, 1U);
}

std::uint64_t request_fingerprint(const call_info& info) {
    // The separator is not allowed in names or paths, so the concatenation is unambiguous.
    const auto head = info.kind + "\n" + info.service + "\n" + info.path + "\n";
    const auto seed = XXH64(head.data(), head.size(), 0);
    return XXH64(info.body.data(), info.body.size(), seed);
}

arrival_decision register_arrival(key_record& record, retry_ledger& ledger, std::uint64_t fingerprint,
                                  bool accepting, invariant_table& invariants) {
    const bool first = record.state == key_state::issued;
    if (!first && record.fingerprint != fingerprint) {
        // The original request of this key may have run, so its outcome must not be reported as "not run".
        const auto kind = record.state == key_state::not_run ? outcome_kind::not_run : outcome_kind::unknown;
        return {arrival_action::respond,
                make_failure(kind, error_kind::bad_key, "the key or label belongs to another request",
                             "use each key and label for one request only")};
    }
    record.repeats += first ? 0 : 1;
    if (record.state == key_state::running) {
        return {arrival_action::wait, {}};
    }
    if (!first && record.state != key_state::not_run) {
        return {arrival_action::respond, recorded_outcome(record)};
    }
    if (!accepting) {
        return {arrival_action::respond,
                make_failure(outcome_kind::not_run, error_kind::draining, "this node is shutting down",
                             "send the call to another node")};
    }
    if (!first && !take_retry(ledger, invariants)) {
        return {arrival_action::respond, make_failure(outcome_kind::not_run, error_kind::retry_budget_spent,
                                                      "the request has used up its retries and did not run",
                                                      "retry later with a new key")};
    }
    record.fingerprint = fingerprint;
    record.state = key_state::running;
    record.first_caller_disconnected = false;
    return {arrival_action::run, {}};
}

std::vector<std::function<void(const call_outcome&)>> end_run(key_table& table,
                                                              const std::shared_ptr<key_record>& record,
                                                              const call_outcome& outcome,
                                                              invariant_table& invariants) {
    check(invariants, invariant::honest_not_run,
          outcome.kind != outcome_kind::not_run || record->attempts.unresolved == 0,
          "\"not run\" for a request with an attempt that may have run");
    record->state = state_after(outcome.kind);
    record->outcome = outcome;
    record->cancel_run = nullptr;
    std::vector<std::function<void(const call_outcome&)>> waiters;
    for (auto& [n, fn] : record->waiters) {
        waiters.push_back(std::move(fn));
    }
    record->waiters.clear();
    const auto bytes = response_bytes(outcome.response);
    table.retained.push_back({record, bytes});
    table.retained_bytes += bytes;
    while (table.retained_bytes > table.max_retained_bytes) {
        const auto oldest = std::move(table.retained.front());
        table.retained.pop_front();
        table.retained_bytes -= oldest.bytes;
        if (const auto it = oldest.record.lock(); it && it->state != key_state::running) {
            it->response_dropped = it->state == key_state::done;
            it->outcome.response.body = {};
            it->outcome.response.headers = {};
        }
    }
    return waiters;
}

call_outcome recorded_outcome(const key_record& record) {
    auto outcome = record.outcome;
    if (record.state == key_state::issued) {
        return make_failure(outcome_kind::unknown, error_kind::outcome_unknown,
                            "no request with this key has arrived", "send the request, or query again");
    }
    if (record.state == key_state::running) {
        return make_failure(outcome_kind::unknown, error_kind::outcome_unknown,
                            "the request is still running",
                            "query again, or repeat the request to wait for its response");
    }
    outcome.spent = 0;
    if (record.state == key_state::done && record.response_dropped) {
        outcome.response.headers = {{"Baobab-Answer", "dropped"}, {"Content-Type", "application/json"}};
        outcome.response.body = R"({"outcome":"done","answer":"dropped"})";
    }
    return outcome;
}

std::uint64_t add_waiter(key_record& record, std::function<void(const call_outcome&)> fn) {
    if (record.waiters.size() >= max_waiters) {
        return 0;
    }
    record.waiters.emplace(++record.last_waiter, std::move(fn));
    return record.last_waiter;
}

} // namespace baobabswitch
