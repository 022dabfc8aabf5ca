#pragma once

#include "errors.h"
#include "output.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Explanation of one request from the logs of baobabswitch-mesh.
struct log_explanation {
    std::vector<nlohmann::json> lines;   ///< log lines of the request and its nested calls, by time
    std::vector<nlohmann::json> context; ///< events at the involved nodes around the time of the failure
    std::string cause;                   ///< why the request failed; empty if no line states a failure
};

/// Appends the JSON objects of a log that have an event to `lines`. Ignores text before the JSON of a line,
/// and lines that are not JSON.
void read_log(std::istream& in, std::vector<nlohmann::json>& lines);

/// Explains a request from the collected log lines of several nodes. The id of a nested call is
/// the request's id followed by a dot and a suffix. Fails with not_found when no line names the request.
result<log_explanation> explain_request(const std::vector<nlohmann::json>& lines, std::string_view request);

/// Returns the explanation as a table with the columns time, node, event and details.
text_table explanation_table(const log_explanation& explanation);

} // namespace baobabswitch
