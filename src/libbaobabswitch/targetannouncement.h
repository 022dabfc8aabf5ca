#pragma once

#include "nodestate.h"

#include <string>

namespace baobabswitch {

/// Parses the announcement of the local target, the JSON body of POST /n/announce. The address must be on
/// this VM, so that an announcement can't redirect calls to another host. Fails with malformed.
result<local_target> parse_announcement(const node_state& node, const std::string& text);

} // namespace baobabswitch
