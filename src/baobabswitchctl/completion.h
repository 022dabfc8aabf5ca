#pragma once

#include <iosfwd>

namespace baobabswitch {

/// Writes a bash completion script for the commands of ctl_commands() and the options.
void write_bash_completion(std::ostream& out);

} // namespace baobabswitch
