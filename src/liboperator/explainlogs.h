#pragma once

#include "errors.h"
#include "output.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// What the logs of baobabswitch-mesh tell about one request.
struct log_explanation {
    std::vector<nlohmann::json> lines; ///< of the request and of its nested calls, by time
    std::vector<nlohmann::json>
        context;       ///< of the nodes that it was sent to, shortly before and after its end
    std::string cause; ///< why it failed; empty if no line tells
};

/// Reads the lines of a log that may matter, appending to `lines`. Text before the JSON of a line and lines
/// that are not JSON are passed over.
void read_log(std::istream& in, std::vector<nlohmann::json>& lines);

/// Follows a request through collected lines of several nodes. Nested calls have ids that extend the
/// request's by a dot. Fails with not_found when no line names the request.
result<log_explanation> explain_request(const std::vector<nlohmann::json>& lines, std::string_view request);

/// Returns the explanation as rows: time, node, event, details.
text_table explanation_table(const log_explanation& it);

} // namespace baobabswitch
