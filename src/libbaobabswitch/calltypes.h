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

/// Importance of a kind of request: 0 is shed first, 9 last.
using importance_level = std::uint8_t;
inline constexpr importance_level max_importance = 9;

/// What a caller is told about its request.
enum class outcome_kind {
    done,     ///< the target's whole answer follows
    not_run,  ///< certainly no target started it
    unknown,  ///< it may have run
    promised, ///< the platform holds it; it runs later
};

/// Returns "done", "not-run", "unknown" or "promised".
std::string_view outcome_name(outcome_kind kind);

/// Least importance admitted for a kind; the fraction is the share of that importance that is refused.
struct kind_threshold {
    std::string kind;
    double level = 0;
};
using threshold_list = std::vector<kind_threshold>;

/// One call on its way to a target.
struct call_info {
    std::string request; ///< identity of the whole request, the same on every hop
    std::string call;    ///< identity of this call: "<node>.<incarnation>.<n>"
    std::string service;
    std::string path; ///< path at the target, with a leading slash
    std::string kind;
    importance_level importance = 0;
    bool idempotent = true;
    bool cancellable = true;
    unsigned depth = 0; ///< 0 for a call from an external caller
    time_point deadline;
    unsigned grant = 0; ///< retries that may be spent below
    double weight = 1;  ///< calls of this kind that the sender had for each that it sent
    std::string body;
    std::string parent_kind; ///< kind of the call at this node's target that causes this one, if any
    importance_level parent_importance = 0;
};

/// How a call ended.
struct call_outcome {
    outcome_kind kind = outcome_kind::unknown;
    http_response answer;       ///< the target's answer, if done
    std::string answered_call;  ///< call id that the node beside the target put on its answer
    std::optional<error> cause; ///< why, if not done
    unsigned spent = 0;         ///< retries spent below
    threshold_list thresholds;  ///< levels now in force on the paths below, per kind of the service
    milliseconds wait{0};       ///< expected queue wait at the target
};

/// Builds an outcome for a call that did not complete.
call_outcome make_failure(outcome_kind kind, error_kind cause, std::string message, std::string remedy);

} // namespace baobabswitch
