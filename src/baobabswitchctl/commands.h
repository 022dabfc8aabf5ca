#pragma once

#include "ctlsettings.h"
#include "exitcode.h"
#include "output.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabswitch {

/// One invocation of baobabswitchctl.
struct ctl_invocation {
    std::string command;
    std::vector<std::string> arguments;
    ctl_settings settings;
    output_format format = output_format::table;
    std::string reason;
    std::optional<std::uint64_t> base_version; ///< for apply; defaults to the version in the platform
    std::string write_id;                      ///< for apply; identifies the attempt whose outcome is unknown
    bool wait = true;
    std::chrono::seconds wait_timeout{30};
    std::size_t limit = 20;        ///< for audit; maximum number of entries
    std::vector<std::string> logs; ///< for explain; log files to read instead of querying nodes
};

/// A command and its texts for the help and shell completion.
struct ctl_command {
    std::string_view name;
    std::string_view argument; ///< empty if the command takes none
    std::string_view help;
    exit_code (*run)(const ctl_invocation& invocation);
};

/// Returns all commands in the order in which the help lists them.
const std::vector<ctl_command>& ctl_commands();

/// Runs a command and returns its exit code; an unknown command is a usage error.
exit_code run_command(const ctl_invocation& invocation);

/// Writes an error to standard error and returns its exit code.
exit_code report(const error& err);

} // namespace baobabswitch
