#pragma once

#include "httpmessage.h"

#include <nlohmann/json.hpp>

#include <string>

namespace baobabswitch {

/// Asks a node's admin interface and returns its JSON answer.
/// Fails with store_unavailable when the node does not answer, unauthorized, not_found, or the error that the
/// node named. A POST that was sent and has no answer is outcome_unknown.
result<nlohmann::json> get_from_node(const endpoint& node, const std::string& path);
result<nlohmann::json> post_to_node(const endpoint& node, const std::string& path, const std::string& token);

} // namespace baobabswitch
