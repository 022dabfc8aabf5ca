#include "soakledger.h"

namespace baobabswitch {

namespace {

void report(soak_ledger& ledger, const std::string& id, const std::string& what) {
    ledger.violations.push_back("request " + id + ": " + what);
}

} // namespace

bool promises_no_run(unsigned status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

void record_sent(soak_ledger& ledger, const std::string& id, bool repeatable, boot_time_point now) {
    auto& it = ledger.requests[id];
    it.repeatable = repeatable;
    it.sent = now;
}

void record_run(soak_ledger& ledger, const std::string& id) {
    const auto found = ledger.requests.find(id);
    if (found == ledger.requests.end()) {
        report(ledger, id, "a target ran it, but no caller sent it");
        return;
    }
    auto& it = found->second;
    ++it.runs;
    if (!it.repeatable && it.runs > 1) {
        report(ledger, id, "ran " + std::to_string(it.runs) + " times and may not be repeated");
    } else if (it.runs > max_runs) {
        report(ledger, id, "ran " + std::to_string(it.runs) + " times, the route allows 2");
    }
    if (it.answered && promises_no_run(it.status)) {
        report(ledger, id, "ran after the answer " + std::to_string(it.status));
    }
}

void record_answer(soak_ledger& ledger, const std::string& id, unsigned status, const std::string& id_told) {
    auto& it = ledger.requests[id];
    it.answered = true;
    it.status = status;
    const bool success = status >= 200 && status < 300;
    (success ? ledger.served : promises_no_run(status) ? ledger.refused : ledger.failed) += 1;
    if (!id_told.empty() && id_told != id) {
        report(ledger, id, "got the answer to " + id_told);
    }
    if (success && it.runs == 0) {
        report(ledger, id, "succeeded, but no target ran it");
    }
    if (promises_no_run(status) && it.runs > 0) {
        report(ledger, id, "answered " + std::to_string(status) + " although it ran");
    }
}

} // namespace baobabswitch
