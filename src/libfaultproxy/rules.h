#pragma once

#include "errors.h"
#include "httpmessage.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// An IPv4 prefix; the default matches every address.
struct address_prefix {
    std::uint32_t address = 0;
    unsigned bits = 0;
};

/// Parses "127.1.2.0/27", or an address alone. Fails with malformed.
result<address_prefix> parse_prefix(std::string_view text);
bool matches(const address_prefix& prefix, std::string_view host);

/// Faults for the connections from one group of addresses to another. Shares are probabilities from 0 to 1.
struct fault_rule {
    address_prefix source;
    address_prefix destination;
    unsigned port = 0; ///< of the destination; 0: any
    double delay_ms = 0;
    double jitter_ms = 0;   ///< added to the delay, up to this, at random
    bool cut = false;       ///< connections are closed and new ones refused
    bool lose_to = false;   ///< bytes to the destination vanish
    bool lose_back = false; ///< bytes from the destination vanish
    /// Share of the requests after which the connection is closed as soon as they were passed on.
    double cut_after_request = 0;
    double cut_answer = 0;  ///< share of the answers that are replaced by a closed connection
    double half_answer = 0; ///< share of the answers of which half is passed on before the connection closes
    double garbage_answer = 0; ///< share of the answers replaced by random bytes
};

/// Parses the body of POST /control, {"rules": [...]}, with the members of fault_rule; source and destination
/// are prefixes. Fails with malformed.
result<std::vector<fault_rule>> parse_rules(std::string_view text);

/// Combines all rules that match a connection: delays add up, any cut cuts, the greatest share counts.
fault_rule combine(const std::vector<fault_rule>& rules, std::string_view source,
                   const endpoint& destination);

} // namespace baobabswitch
