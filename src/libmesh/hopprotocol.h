#pragma once

#include "admissionlevel.h"
#include "httpmessage.h"
#include "targetdirectory.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Header field that carries hop data between nodes, as a JSON object. Callers and targets never see it.
inline constexpr std::string_view hop_header = "Baobab-Hop";

/// What the node where a call begins tells the node beside the chosen target.
struct hop_info {
    std::string caller_service;
    std::string service; ///< that the receiver's target must belong to
    std::string route;
    boot_duration time_left{}; ///< until the answer is due
    boot_duration latency_objective{};
    double priority = 0; ///< see slot_request
    bool idempotent = false;
    bool nested = false;
    bool is_retry = false; ///< this call or one that it comes from was sent before
    std::uint64_t config_version = 0;
};

enum class hop_outcome {
    answered, ///< the target's answer
    not_run,  ///< the target did not get the call, or said that it did not run it
    unknown   ///< the call may have run
};

/// What the node beside the target answers, besides the target's own answer.
struct hop_result {
    hop_outcome outcome = hop_outcome::unknown;
    std::string reason; ///< of an outcome other than answered
    http_response response;
    load_report load;
    bool accepting = true; ///< false when the target is leaving, unknown or unreachable
    bool reached_target = false;
    std::uint64_t config_version = 0; ///< 0: the node knows no configuration
    cost_map costs;
    std::map<std::string, observed_level, std::less<>> levels;
};

std::string encode_hop_info(const hop_info& info);
/// Fails with malformed.
result<hop_info> decode_hop_info(std::string_view text);

std::string encode_hop_result(const hop_result& it, boot_time_point now);
/// Reads all but the response. Fails with malformed.
result<hop_result> decode_hop_result(std::string_view text, boot_time_point now);

} // namespace baobabswitch
