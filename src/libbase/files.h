#pragma once

#include "errors.h"

#include <string>

namespace baobabswitch {

/// Returns the content of a file. Fails with not_found when it can't be read.
result<std::string> read_file(const std::string& file_name);

} // namespace baobabswitch
