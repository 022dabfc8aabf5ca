#pragma once

#include "admissionlevel.h"
#include "httpmessage.h"
#include "targettable.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Header field that carries hop data between nodes as a JSON object. Never forwarded to callers or targets.
inline constexpr std::string_view hop_header = "Baobab-Hop";

/// Sent with a call by the caller's node to the node beside the chosen target.
struct hop_info {
    std::string node; ///< the sender; empty if it runs an earlier version
    std::string caller_service;
    std::string service; ///< service that the receiving node's target must belong to
    std::string route;
    boot_duration time_left{}; ///< until the deadline
    boot_duration latency_objective{};
    double priority = 0; ///< see slot_request
    bool idempotent = false;
    bool nested = false;   ///< see slot_request
    bool is_retry = false; ///< this call, or a call that it is nested in, is a retry
    std::uint64_t config_version = 0;
    bool watches_config = false; ///< see mesh_state
};

enum class hop_outcome {
    answered, ///< the target responded
    not_run,  ///< the target did not receive the call, or reported that it did not run it
    unknown   ///< the call may or may not have run
};

/// Result of a call, returned by the node beside the target.
struct hop_result {
    hop_outcome outcome = hop_outcome::unknown;
    std::string reason; ///< why the outcome is not `answered`
    http_response response;
    load_report load;
    bool accepting = true;            ///< whether the node sends new calls to its target
    bool reached_target = false;      ///< the target may have received the call
    std::uint64_t config_version = 0; ///< 0 if the node has no configuration
    bool watches_config = false;      ///< see mesh_state
    bool unreachable = false;         ///< no connection to the node could be established
    bool from_peer = false;           ///< the other members are what a peer sent
    cost_map costs;
    std::map<std::string, observed_level, std::less<>> levels; ///< by service
};

std::string encode_hop_info(const hop_info& info);
/// Decodes the text of the header field. Fails with malformed.
result<hop_info> decode_hop_info(std::string_view text);

std::string encode_hop_result(const hop_result& it, boot_time_point now);
/// Decodes all members but the response. Fails with malformed.
result<hop_result> decode_hop_result(std::string_view text, boot_time_point now);

} // namespace baobabswitch
