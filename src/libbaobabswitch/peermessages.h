#pragma once

#include "calltypes.h"
#include "httpmessage.h"
#include "nodestate.h"

#include <string>
#include <string_view>

namespace baobabswitch {

/// Builds a signed message to another node.
http_request make_peer_request(const node_state& node, std::string method, std::string path,
                               http_headers headers, std::string body);

/// Checks the signature of a message from another node. Fails with bad_mac.
result<void> verify_peer_request(const node_state& node, const http_request& request);

/// Builds the message that passes a call to the node beside a target.
http_request make_hop_request(const node_state& node, const call_info& info, unsigned grant,
                              milliseconds timeout);

/// Reads a call from such a message. Fails with malformed.
result<call_info> parse_hop_request(const http_request& request, time_point now);

/// Builds the message that passes a keyed call to the key's owner. The owner reads the kind, the target and
/// the timeout from internal headers.
http_request make_key_request(const node_state& node, const call_info& info, const std::string& key,
                              milliseconds timeout);

/// Reports whether a done answer carries the id of the call that it should answer, and its whole body.
bool is_complete_answer_to(const call_outcome& outcome, std::string_view call);

/// Removes the headers that only nodes set and those that belong to one connection from a target's answer.
void strip_reserved_headers(http_headers& headers);

/// Builds the answer to a hop from its outcome, and reads it.
http_response make_hop_response(call_outcome outcome);
call_outcome parse_hop_response(http_response response);

/// Builds the answer for a caller.
http_response make_caller_response(call_outcome outcome, std::string_view request);

/// Builds a JSON body {"error", "message", "remedy"}.
std::string error_body(const error& cause);

/// Returns the error kind with that name, or internal.
error_kind error_from_name(std::string_view name);

} // namespace baobabswitch
