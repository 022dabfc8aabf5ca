#include "executions.h"

#include <algorithm>
#include <fstream>

namespace baobabswitch {

void read_executions(execution_table& table, const std::string& file_name) {
    std::ifstream in{file_name};
    std::string event;
    std::string request;
    std::string kind;
    while (in >> event >> request >> kind) {
        auto& count = table[request][kind];
        ++(event == "run" ? count.runs : count.calls);
    }
}

std::size_t count_executed(const execution_table& table, const std::vector<std::string>& identities) {
    return static_cast<std::size_t>(std::count_if(identities.begin(), identities.end(),
                                                  [&](const auto& it) { return table.contains(it); }));
}

execution_summary summarize(const execution_table& table, const workload& load) {
    execution_summary sum;
    for (const auto& [request, kinds] : table) {
        std::uint64_t retries = 0;
        for (const auto& [kind, count] : kinds) {
            // A kind without recorded child calls was called by the client, once per request identity.
            const auto calls = std::min(std::max<std::uint64_t>(count.calls, 1), count.runs);
            sum.runs += count.runs;
            sum.distinct_calls += calls;
            retries += count.runs - calls;
            const auto it = load.kinds.find(kind);
            if (it != load.kinds.end() && !it->second.idempotent && count.runs > 1) {
                sum.non_idempotent_repeats += count.runs - 1;
            }
        }
        sum.retries += retries;
        sum.max_retries_per_request = std::max(sum.max_retries_per_request, retries);
    }
    return sum;
}

} // namespace baobabswitch
