#pragma once

#include "workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabswitch {

/// Execution counts of one kind for one request identity, over all targets.
struct execution_count {
    std::uint64_t runs = 0;  ///< executions started
    std::uint64_t calls = 0; ///< calls of the kind that targets issued as child calls
};

/// Execution counts by request identity and kind.
using execution_table = std::map<std::string, std::map<std::string, execution_count>>;

/// Adds the records that a stand-in target wrote to a file as lines "run REQUEST KIND" and "child REQUEST
/// KIND".
void read_executions(execution_table& table, const std::string& file_name);

/// Retries and violations of at-most-once execution in a run.
struct execution_summary {
    std::uint64_t runs = 0;
    std::uint64_t distinct_calls = 0;
    std::uint64_t retries = 0; ///< executions minus distinct calls
    std::uint64_t max_retries_per_request = 0;
    std::uint64_t non_idempotent_repeats = 0; ///< executions of non-idempotent calls beyond the first
};

/// Returns how many of the request identities have records in the table.
std::size_t count_executed(const execution_table& table, const std::vector<std::string>& identities);

execution_summary summarize(const execution_table& table, const workload& load);

} // namespace baobabswitch
