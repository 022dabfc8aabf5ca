#pragma once

#include <iosfwd>

namespace baobabswitch {

/// Writes a completion script for bash, generated from the commands and options.
void write_bash_completion(std::ostream& out);

} // namespace baobabswitch
