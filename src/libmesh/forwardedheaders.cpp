#include "forwardedheaders.h"

#include "hopprotocol.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

namespace baobabswitch {

namespace {

/// Hop-by-hop fields (RFC 9110, 7.6.1), and those that are regenerated when a message is written.
constexpr std::array connection_fields{
    std::string_view{"Connection"},        std::string_view{"Keep-Alive"},
    std::string_view{"Proxy-Connection"},  std::string_view{"TE"},
    std::string_view{"Transfer-Encoding"}, std::string_view{"Trailer"},
    std::string_view{"Upgrade"},           std::string_view{"Expect"},
    std::string_view{"Content-Length"},
};

char lower(char it) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
}

/// Returns the field names listed in the Connection header.
std::vector<std::string_view> listed_names(const http_headers& headers) {
    std::vector<std::string_view> names;
    auto rest = header_or_empty(headers, "Connection");
    while (!rest.empty()) {
        const auto end = std::min(rest.find(','), rest.size());
        auto name = rest.substr(0, end);
        name.remove_prefix(std::min(name.find_first_not_of(" \t"), name.size()));
        name = name.substr(0, name.find_last_not_of(" \t") + 1);
        if (!name.empty()) {
            names.push_back(name);
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return names;
}

/// Returns the fields that are not hop-by-hop fields.
http_headers end_to_end(const http_headers& headers) {
    const auto listed = listed_names(headers);
    const auto is_hop_by_hop = [&](std::string_view name) {
        const auto same = [&](std::string_view it) {
            return same_header(it, name);
        };
        return std::any_of(connection_fields.begin(), connection_fields.end(), same) ||
               std::any_of(listed.begin(), listed.end(), same);
    };
    http_headers kept;
    kept.reserve(headers.size() + 4);
    for (const auto& field : headers) {
        if (!is_hop_by_hop(field.first)) {
            kept.push_back(field);
        }
    }
    return kept;
}

} // namespace

bool same_header(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

void remove_header(http_headers& headers, std::string_view name) {
    std::erase_if(headers, [&](const auto& field) { return same_header(field.first, name); });
}

http_headers forwarded_request_headers(const http_headers& headers, const call_headers& names) {
    auto kept = end_to_end(headers);
    std::erase_if(kept, [&](const auto& field) {
        return same_header(field.first, hop_header) || same_header(field.first, names.caller_service) ||
               same_header(field.first, names.target_instance) ||
               same_header(field.first, names.time_left_ms);
    });
    return kept;
}

http_headers forwarded_response_headers(const http_headers& headers) {
    auto kept = end_to_end(headers);
    remove_header(kept, hop_header);
    return kept;
}

} // namespace baobabswitch
