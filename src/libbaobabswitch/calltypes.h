#pragma once

#include "errors.h"
#include "eventloop.h"
#include "httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Importance of a kind of request, from 0 (shed first) to 9 (shed last).
using importance_level = std::uint8_t;
inline constexpr importance_level max_importance = 9;

/// Outcome of a request as reported to its caller.
enum class outcome_kind {
    done,     ///< completed; the complete response of the target is available
    not_run,  ///< guaranteed not to have been started by any target
    unknown,  ///< may have been executed
    promised, ///< stored on the platform for later execution
};

/// Returns "done", "not-run", "unknown" or "promised".
std::string_view outcome_name(outcome_kind kind);

/// Admission threshold of a kind. The integral part is the lowest admitted importance, the fraction is the
/// share of calls at that importance that is refused.
struct kind_threshold {
    std::string kind;
    double level = 0;
};
using threshold_list = std::vector<kind_threshold>;

/// A call to be sent to a target.
struct call_info {
    std::string request; ///< request id, the same on every hop
    std::string call;    ///< id of this call: "<node>.<incarnation>.<n>"
    std::string service;
    std::string path; ///< path at the target, with a leading slash
    std::string kind;
    importance_level importance = 0;
    bool idempotent = true;
    bool cancellable = true;
    unsigned depth = 0; ///< 0 for a call from an external caller
    time_point deadline;
    unsigned grant = 0; ///< retries that this call and its child calls may use
    double weight = 1;  ///< offered calls of this kind per call sent (inverse of the admitted share)
    std::string body;
    std::string parent_kind; ///< kind of the parent call at the local target, if any
    importance_level parent_importance = 0;
};

/// Result of a call.
struct call_outcome {
    outcome_kind kind = outcome_kind::unknown;
    http_response response;     ///< response of the target, if done
    std::string response_call;  ///< call id that the target's node added to the response
    std::optional<error> cause; ///< reason, if not done
    unsigned spent = 0;         ///< retries used by the call and its child calls
    threshold_list thresholds;  ///< current admission thresholds of the service's kinds, including downstream
    milliseconds wait{0};       ///< expected queue wait at the target
};

/// Creates the outcome of a call that did not complete.
call_outcome make_failure(outcome_kind kind, error_kind cause, std::string message, std::string remedy);

} // namespace baobabswitch
