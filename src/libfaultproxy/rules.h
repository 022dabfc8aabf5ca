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

/// Parses a prefix such as "127.1.2.0/27", or an address without a prefix length. Fails with malformed.
result<address_prefix> parse_prefix(std::string_view text);
bool matches(const address_prefix& prefix, std::string_view host);

/// Faults for the connections from one address prefix to another. Shares are probabilities from 0 to 1.
struct fault_rule {
    address_prefix source;
    address_prefix destination;
    unsigned port = 0; ///< destination port; 0: any
    double delay_ms = 0;
    double jitter_ms = 0;   ///< maximum of the random time added to the delay
    bool cut = false;       ///< closes open connections and refuses new ones
    bool lose_to = false;   ///< drops the bytes sent to the destination
    bool lose_back = false; ///< drops the bytes sent by the destination
    /// Share of the requests that are followed by a connection close. Like the shares below, it acts on the
    /// first chunk that the proxy reads of a message, up to 16 KiB.
    double cut_after_request = 0;
    double cut_answer = 0;     ///< share of the answers dropped by closing the connection
    double half_answer = 0;    ///< share of the answers whose first chunk is halved before the close
    double garbage_answer = 0; ///< share of the answers whose first chunk is randomised before the close
    double endless_answer = 0; ///< share of the answers replaced by a head or a body without end
    double repeat_answer = 0;  ///< share of the answers whose first chunk is sent again 50 ms later
};

/// Parses the body of POST /control, {"rules": [...]}, with the members of fault_rule; source and destination
/// are prefixes. Fails with malformed.
result<std::vector<fault_rule>> parse_rules(std::string_view text);

/// Combines all rules that match a connection: delays and jitters are added, boolean faults are combined with
/// OR, and the maximum of each share applies.
fault_rule combine(const std::vector<fault_rule>& rules, std::string_view source,
                   const endpoint& destination);

} // namespace baobabswitch
