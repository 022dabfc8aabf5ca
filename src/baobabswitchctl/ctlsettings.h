#pragma once

#include "httpmessage.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabswitch {

/// Where the operator's commands go. An option of the command line comes before an environment variable, and
/// that before the settings file.
struct ctl_settings {
    std::optional<endpoint> platform;
    std::vector<endpoint> nodes; ///< admin addresses
    std::string token;
    std::string author;
};

/// What the command line gave; empty: not given.
struct ctl_arguments {
    std::string settings_file;
    std::string platform;
    std::vector<std::string> nodes;
    std::string token_file;
    std::string author;
};

/// Reads the settings: options, then BAOBABSWITCH_PLATFORM, BAOBABSWITCH_NODES (comma-separated),
/// BAOBABSWITCH_TOKEN and BAOBABSWITCH_AUTHOR, then the TOML file (--settings or BAOBABSWITCH_SETTINGS) with
/// platform, nodes, token and author. A token is never an option, since other users see command lines.
/// Fails with bad_settings, not_found.
result<ctl_settings> read_ctl_settings(const ctl_arguments& arguments);

} // namespace baobabswitch
