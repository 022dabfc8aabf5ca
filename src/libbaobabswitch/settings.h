#pragma once

#include "httpmessage.h"
#include "log.h"
#include "mac.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Settings of one node, read from a TOML file at startup. docs/operators/settings.md explains each.
struct node_settings {
    std::string node_id;
    std::string domain; ///< failure domain
    endpoint listen;    ///< calls and messages between nodes
    endpoint advertise; ///< address that other nodes connect to; defaults to `listen`
    endpoint admin;     ///< operators' interface
    std::vector<endpoint> seeds;
    std::optional<endpoint> platform;
    std::string source_host; ///< local address of outgoing connections; chosen by the system if empty
    key_ring keys;
    std::vector<std::string> operator_tokens; ///< digests of tokens, see token_digest()
    http_limits limits;
    std::size_t max_connections = 8192; ///< incoming connections on `listen`
    std::size_t peer_connections = 16;  ///< outgoing connections to one other node
    log_level log = log_level::info;
    /// Configuration document to use while the platform holds none; intended for test deployments.
    std::string initial_document;
};

/// Parses settings. Fails with bad_settings, naming the file, the line and the remedy. Unknown keys are
/// errors.
result<node_settings> parse_settings(std::string_view text, std::string_view file_name);

/// Reads and parses a settings file. Fails as parse_settings() does, or if the file can't be read.
result<node_settings> load_settings(const std::string& file_name);

} // namespace baobabswitch
