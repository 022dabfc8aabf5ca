#pragma once

#include "calltypes.h"
#include "httpmessage.h"
#include "nodestate.h"

#include <string>
#include <string_view>

namespace baobabswitch {

/// Builds a signed request to another node.
http_request make_peer_request(const node_state& node, std::string method, std::string path,
                               http_headers headers, std::string body);

/// Verifies the signature of a request from another node. Fails with bad_mac.
result<void> verify_peer_request(const node_state& node, const http_request& request);

/// Builds the request that forwards a call to a target's node. `grant` is the number of retries that the call
/// and its child calls may use.
http_request make_hop_request(const node_state& node, const call_info& info, unsigned grant,
                              milliseconds timeout);

/// Parses a request built by make_hop_request. Fails with malformed.
result<call_info> parse_hop_request(const http_request& request, time_point now);

/// Builds the request that forwards a call with an idempotency key to the key's owner. The kind, the target
/// and the timeout are in internal headers.
http_request make_key_request(const node_state& node, const call_info& info, const std::string& key,
                              milliseconds timeout);

/// Reports whether the answer of an executed call carries the id of that call and its whole body.
bool is_complete_answer_to(const call_outcome& outcome, std::string_view call_id);

/// Removes the headers reserved for nodes and the hop-by-hop headers from a target's answer.
void strip_reserved_headers(http_headers& headers);

/// Builds and parses the response to a forwarded call.
http_response make_hop_response(call_outcome outcome);
call_outcome parse_hop_response(http_response response);

/// Builds the response to the caller.
http_response make_caller_response(call_outcome outcome, std::string_view request_id);

/// Returns the JSON body {"error", "message", "remedy"}.
std::string error_body(const error& cause);

/// Returns the error kind with that name, or internal.
error_kind error_from_name(std::string_view name);

} // namespace baobabswitch
