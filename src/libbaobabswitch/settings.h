#pragma once

#include "httpmessage.h"
#include "log.h"
#include "mac.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Settings of one node, read once at start from a TOML file. docs/operators/settings.md explains each.
struct node_settings {
    std::string node_id;
    std::string domain; ///< failure domain
    endpoint listen;    ///< calls and messages between nodes
    endpoint advertise; ///< address under which other nodes reach this one; listen if not set
    endpoint admin;     ///< operators' interface
    std::vector<endpoint> seeds;
    std::optional<endpoint> platform;
    std::string source_host; ///< local address of outgoing connections; empty: the system chooses
    key_ring keys;
    std::vector<std::string> operator_tokens; ///< digests of tokens, see token_digest()
    http_limits limits;
    std::size_t max_connections = 8192;
    std::size_t peer_connections = 16;
    log_level log = log_level::info;
    /// A configuration document to start with while the platform holds none; for trials.
    std::string initial_document;
};

/// Parses settings. Fails with bad_settings whose message names the file, the line and the remedy; unknown
/// keys are refused.
result<node_settings> parse_settings(std::string_view text, std::string_view file_name);

/// Reads and parses a settings file.
result<node_settings> load_settings(const std::string& file_name);

} // namespace baobabswitch
