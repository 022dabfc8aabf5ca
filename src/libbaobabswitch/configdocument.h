#pragma once

#include "calltypes.h"
#include "errors.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Settings of one kind of request: an entry of "kinds" in the document.
struct kind_config {
    std::string service;
    importance_level importance = 0;
    milliseconds timeout{1000};
    milliseconds patience{0}; ///< longest delay of a promised call; 0: calls are never promised
    bool idempotent = true;
    bool cancellable = true;
};

struct service_config {
    std::size_t slots = 100;       ///< calls that a target runs at the same time
    std::size_t connections = 700; ///< connections that a target accepts
    std::size_t queue = 200;       ///< calls that may wait in the queue of a target
};

/// How calls are controlled. direct and static_limits are the baselines of the measurements.
enum class policy_mode { baobabswitch, static_limits, direct };

struct policy_config {
    policy_mode mode = policy_mode::baobabswitch;
    unsigned retry_budget = 3; ///< retries of a whole request, over all hops
    unsigned hedge_percent = 5;
};

/// The configuration in force: the document in the form that the call path reads.
struct configuration {
    std::uint64_t version = 0;
    std::string digest;
    std::map<std::string, kind_config, std::less<>> kinds;
    std::map<std::string, service_config, std::less<>> services;
    policy_config policy;
};

/// Validates a document against the schema.
/// Fails with bad_document; the message names the field, for example "kinds.spot-lookup.importance".
result<configuration> configuration_from_json(const nlohmann::json& document);
result<configuration> parse_configuration(std::string_view text);

/// Returns the XXH64 digest of the canonical dump of a document (sorted keys, no spaces), hexadecimal.
std::string document_digest(const nlohmann::json& document);

/// One difference between two documents, for display.
struct document_change {
    std::string path;   ///< for example "kinds.spot-lookup.importance"
    std::string before; ///< JSON; empty: added
    std::string after;  ///< JSON; empty: removed
};

/// Returns what changes from one valid document to another.
std::vector<document_change> document_changes(const nlohmann::json& before, const nlohmann::json& after);
/// Formats a change as "~ path: before -> after", "+ path: after" or "- path: before".
std::string describe(const document_change& change);

} // namespace baobabswitch
