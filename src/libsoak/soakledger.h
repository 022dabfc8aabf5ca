#pragma once

#include "bootclock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

/// State of one request as observed by its caller and by the targets.
struct ledger_entry {
    bool idempotent = false;
    unsigned executions = 0;
    unsigned status = 0; ///< HTTP status of the answer; 0: none
    bool answered = false;
    boot_time_point sent{};
};

/// All requests of a run and the violated guarantees.
struct soak_ledger {
    std::unordered_map<std::string, ledger_entry> requests;
    std::vector<std::string> violations;
    std::uint64_t served = 0;  ///< answers with a status from 200 to 299
    std::uint64_t refused = 0; ///< answers whose status guarantees that the request was not executed
    std::uint64_t failed = 0;  ///< all other answers
};

/// Maximum number of targets that a request may be sent to: `max_attempts` of the soak's routes.
constexpr unsigned max_executions = 2;

void record_sent(soak_ledger& ledger, const std::string& id, bool idempotent, boot_time_point now);

/// Records that a target started to execute a request. Reports a second execution of a non-idempotent
/// request, more executions than the route allows, and an execution after an answer that rules it out.
void record_execution(soak_ledger& ledger, const std::string& id);

/// Records an answer; `response_id` is its X-Request-Id. Reports an answer that belongs to another request,
/// a success without an execution, and a status that rules out execution although the request was executed.
void record_answer(soak_ledger& ledger, const std::string& id, unsigned status,
                   const std::string& response_id);

/// Returns whether a status guarantees that the request was not executed and never will be.
bool guarantees_not_executed(unsigned status);

} // namespace baobabswitch
