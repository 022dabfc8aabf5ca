#pragma once

#include "httpmessage.h"
#include "platformport.h"

#include <string_view>

namespace baobabswitch {

/// Compares header names case-insensitively.
bool same_header(std::string_view a, std::string_view b);
/// Removes all fields with the given name.
void remove_header(http_headers& headers, std::string_view name);
/// Returns the fields of a caller's request that are forwarded to targets: all but hop-by-hop fields and
/// those that only nodes may set.
http_headers forwarded_request_headers(const http_headers& headers, const call_headers& names);
/// Returns the fields of a target's response that are forwarded to the caller.
http_headers forwarded_response_headers(const http_headers& headers);

} // namespace baobabswitch
