#pragma once

#include "nodestate.h"

#include <functional>

namespace httplib {
class Server;
} // namespace httplib

namespace baobabswitch {

/// Registers the operators' endpoints with a server: /v1/config, /v1/changes, /v1/audit, /v1/rollout,
/// /v1/schema, /console and POST /v1/drain. PUT /v1/config and POST /v1/drain need a token whose digest the
/// settings list. `drain` is called on the event loop.
void add_operator_routes(httplib::Server& server, node_state& node, std::function<void()> drain);

} // namespace baobabswitch
