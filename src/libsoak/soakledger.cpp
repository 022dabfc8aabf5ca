#include "soakledger.h"

namespace baobabswitch {

namespace {

void report(soak_ledger& ledger, const std::string& id, const std::string& what) {
    ledger.violations.push_back("request " + id + ": " + what);
}

} // namespace

bool guarantees_not_executed(unsigned status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

void record_sent(soak_ledger& ledger, const std::string& id, bool idempotent, boot_time_point now) {
    auto& it = ledger.requests[id];
    it.idempotent = idempotent;
    it.sent = now;
}

void record_execution(soak_ledger& ledger, const std::string& id) {
    const auto found = ledger.requests.find(id);
    if (found == ledger.requests.end()) {
        report(ledger, id, "executed by a target, but not sent by any caller");
        return;
    }
    auto& it = found->second;
    ++it.executions;
    if (!it.idempotent && it.executions > 1) {
        report(ledger, id,
               "executed " + std::to_string(it.executions) + " times although it is not idempotent");
    } else if (it.executions > max_executions) {
        report(ledger, id, "executed " + std::to_string(it.executions) + " times; the route allows 2");
    }
    if (it.answered && guarantees_not_executed(it.status)) {
        report(ledger, id, "executed after it was answered with " + std::to_string(it.status));
    }
}

void record_answer(soak_ledger& ledger, const std::string& id, unsigned status,
                   const std::string& response_id) {
    auto& it = ledger.requests[id];
    it.answered = true;
    it.status = status;
    const bool success = status >= 200 && status < 300;
    (success ? ledger.served : guarantees_not_executed(status) ? ledger.refused : ledger.failed) += 1;
    if (!response_id.empty() && response_id != id) {
        report(ledger, id, "received the answer to request " + response_id);
    }
    if (success && it.executions == 0) {
        report(ledger, id, "succeeded, but no target executed it");
    }
    if (guarantees_not_executed(status) && it.executions > 0) {
        report(ledger, id, "answered " + std::to_string(status) + " although it was executed");
    }
}

} // namespace baobabswitch
