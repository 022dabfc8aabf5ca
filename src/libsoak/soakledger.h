#pragma once

#include "bootclock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

/// What callers and targets saw of one request.
struct ledger_entry {
    bool idempotent = false;
    unsigned executions = 0;
    unsigned status = 0; ///< of the answer; 0: none
    bool answered = false;
    boot_time_point sent{};
};

/// All requests of a run, with the promises that were found broken.
struct soak_ledger {
    std::unordered_map<std::string, ledger_entry> requests;
    std::vector<std::string> violations;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Most targets that one request may be sent to: `max_attempts` of the soak's routes.
constexpr unsigned max_executions = 2;

void record_sent(soak_ledger& ledger, const std::string& id, bool idempotent, boot_time_point now);

/// Records that a target began to run a request. At once detects a second run of one that may not be
/// repeated, more runs than the route allows, and a run after the promise of none.
void record_execution(soak_ledger& ledger, const std::string& id);

/// Records an answer; `id_told` is its X-Request-Id. Detects an answer to another request, and a promise that
/// it did not run for one that did.
void record_answer(soak_ledger& ledger, const std::string& id, unsigned status,
                   const std::string& response_id);

/// Reports whether a status promises that the request has not run and never will.
bool guarantees_not_executed(unsigned status);

} // namespace baobabswitch
