#pragma once

#include "httpmessage.h"
#include "objectstore.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace baobabswitch {

/// Handlers of the configuration endpoints. Those that take a store call the platform and block meanwhile.
/// Errors are returned as {"error", "message", "remedy"}: 400 bad-document or malformed, 404 not-found,
/// 409 conflict, 413 too-large, 503 store-unavailable, 504 outcome-unknown, 500 for any other error.

/// GET /v1/config: the accepted version with its document, and the version in force at this node.
http_response handle_get_config(object_store& store, std::uint64_t active_version);

/// PUT /v1/config: {"document", "author", "reason", "base_version", "write_id"}. After
/// outcome-unknown, the client repeats the request with the same "write_id" and "settle": true; the change is
/// never written twice.
http_response handle_put_config(object_store& store, std::string_view body, std::uint64_t active_version,
                                std::chrono::system_clock::time_point now);

/// POST /v1/changes: {"document"}. Lists what a valid document would change and the version that it would
/// replace. `accepted` is a response of handle_get_config(); this function makes no call to the platform.
http_response handle_preview_changes(const http_response& accepted, std::string_view body);

/// GET /v1/audit?limit=N: the newest accepted changes.
http_response handle_audit(object_store& store, std::size_t limit);

/// GET /v1/rollout: the accepted version and the versions in force in each failure domain.
http_response handle_rollout(object_store& store, std::chrono::system_clock::time_point now);

} // namespace baobabswitch
