#pragma once

#include "errors.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobabswitch {

/// Header fields in order of arrival; names are case-insensitive.
using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method = "GET";
    std::string target = "/"; ///< path with query
    http_headers headers;
    std::string body;
};

struct http_response {
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/// Size limits of one message.
struct http_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    std::size_t header_count = 64; ///< fields of a request; enforced by servers that set on_read_error
};

/// An IP address with a port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&,
                            const endpoint&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14
};

/// Parses "127.0.0.1:7400".
/// Fails with bad_settings if the text is not an IPv4 address with a port.
result<endpoint> parse_endpoint(std::string_view text);
std::string to_string(const endpoint& address);

/// Returns the value of the first field with that name, or std::nullopt.
std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name);
/// Returns the value of the first field with that name, or an empty view.
std::string_view header_or_empty(const http_headers& headers, std::string_view name);
/// Reports whether the name of any field starts with the prefix.
bool has_header_prefix(const http_headers& headers, std::string_view prefix);
/// Parses a non-negative decimal number that makes up the whole text.
std::optional<std::uint64_t> parse_number(std::string_view text);
/// Returns the path of a request target without its query.
std::string_view path_of(std::string_view target);
/// Returns the value of a query parameter, percent-decoded and with '+' read as a space.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);
/// Encodes a text as part of a path or query: all characters but letters, digits and "-._~" become %XX.
std::string percent_encode(std::string_view text);
/// Splits a path into its segments; empty segments are omitted.
std::vector<std::string_view> path_segments(std::string_view path);

/// Builds a response with a JSON body.
http_response json_response(unsigned status, std::string body);

} // namespace baobabswitch
