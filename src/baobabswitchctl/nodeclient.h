#pragma once

#include "httpmessage.h"

#include <nlohmann/json.hpp>

#include <string>

namespace baobabswitch {

/// Sends a request to a node's admin interface and returns its JSON response.
/// Fails with store_unavailable (no answer, or 503), unauthorized (401 or 403), not_found (404) or internal
/// (any other response). A POST that was sent but not answered fails with outcome_unknown.
result<nlohmann::json> get_from_node(const endpoint& node, const std::string& path);
result<nlohmann::json> post_to_node(const endpoint& node, const std::string& path, const std::string& token);

} // namespace baobabswitch
