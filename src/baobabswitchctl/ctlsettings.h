#pragma once

#include "httpmessage.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabswitch {

/// Addresses and credentials for the operator's commands. Command-line options override environment
/// variables, and these override the settings file.
struct ctl_settings {
    std::optional<endpoint> platform;
    std::vector<endpoint> nodes; ///< admin addresses
    std::string token;
    std::string author;
};

/// Values of command-line options; empty if not given.
struct ctl_arguments {
    std::string settings_file;
    std::string platform;
    std::vector<std::string> nodes;
    std::string token_file;
    std::string author;
};

/// Reads the settings: options, then BAOBABSWITCH_PLATFORM, BAOBABSWITCH_NODES (comma-separated),
/// BAOBABSWITCH_TOKEN and BAOBABSWITCH_AUTHOR, then the TOML file (--settings or BAOBABSWITCH_SETTINGS) with
/// platform, nodes, token and author. A token can't be given as an option, since other users can see
/// command lines. Fails with bad_settings or not_found.
result<ctl_settings> read_ctl_settings(const ctl_arguments& arguments);

} // namespace baobabswitch
