#pragma once

#include "nodestate.h"

#include <string>

namespace baobabswitch {

/// Reads the announcement of the target beside a node, POST /n/announce with a JSON body. The address must
/// be on this VM, so that nobody points the node at another host. Fails with malformed.
result<local_target> parse_announcement(const node_state& node, const std::string& text);

} // namespace baobabswitch
