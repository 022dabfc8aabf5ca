#pragma once

#include "httpmessage.h"
#include "platformport.h"

#include <string_view>

namespace baobabswitch {

/// Compares header names without regard to case.
bool same_header(std::string_view a, std::string_view b);
/// Removes all fields with that name.
void remove_header(http_headers& headers, std::string_view name);
/// Returns the fields of a caller's request that targets get: without those of one connection, and without
/// those that only nodes may set.
http_headers forwarded_request_headers(const http_headers& headers, const call_headers& names);
/// Returns the fields of a target's answer that the caller gets.
http_headers forwarded_response_headers(const http_headers& headers);

} // namespace baobabswitch
