#include "httpmessage.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace baobabswitch {

namespace {

char to_lower(char it) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string percent_decode(std::string_view text) {
    std::string buf;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned value = 0;
        const char* first = text.data() + n + 1;
        if (text[n] == '%' && n + 2 < text.size() &&
            std::from_chars(first, first + 2, value, 16).ptr == first + 2) {
            buf += static_cast<char>(value);
            n += 2;
        } else {
            buf += text[n] == '+' ? ' ' : text[n];
        }
    }
    return buf;
}

} // namespace

result<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    const std::string host{text.substr(0, colon)};
    in_addr buf{};
    std::optional<std::uint64_t> port;
    if (colon != std::string_view::npos) {
        port = parse_number(text.substr(colon + 1));
    }
    if (!port || *port > 65535 || inet_pton(AF_INET, host.c_str(), &buf) != 1) {
        return error{error_kind::bad_settings, "\"" + std::string{text} + "\" is not an address",
                     "write an IPv4 address and a port, for example 127.0.0.1:7400"};
    }
    return endpoint{host, static_cast<std::uint16_t>(*port)};
}

std::string to_string(const endpoint& address) {
    return address.host + ":" + std::to_string(address.port);
}

std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name) {
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const auto& field) { return equal_ignoring_case(field.first, name); });
    if (it == headers.end()) {
        return std::nullopt;
    }
    return it->second;
}

std::string_view header_or_empty(const http_headers& headers, std::string_view name) {
    return find_header(headers, name).value_or(std::string_view{});
}

bool has_header_prefix(const http_headers& headers, std::string_view prefix) {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& field) {
        return field.first.size() >= prefix.size() &&
               equal_ignoring_case(std::string_view{field.first}.substr(0, prefix.size()), prefix);
    });
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
    const auto start = target.find('?');
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = target.substr(start + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto field = rest.substr(0, end);
        const auto equals = field.find('=');
        if (field.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string{}
                                                    : percent_decode(field.substr(equals + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string buf;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) != 0 || std::string_view{"-._~"}.find(it) != std::string_view::npos) {
            buf += it;
        } else {
            buf += {'%', digits[byte >> 4U], digits[byte & 15U]};
        }
    }
    return buf;
}

std::vector<std::string_view> path_segments(std::string_view path) {
    std::vector<std::string_view> segments;
    while (!path.empty()) {
        const auto end = std::min(path.find('/'), path.size());
        if (end > 0) {
            segments.push_back(path.substr(0, end));
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return segments;
}

http_response json_response(unsigned status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace baobabswitch
