#pragma once

#include "errors.h"

#include <functional>
#include <string_view>

#include <cxxopts.hpp>

namespace baobabswitch {

/// Writes the program name and the error to standard error and returns EXIT_FAILURE.
int report_error(std::string_view program, const error& err);

/// Parses a command line and runs the program with it. Adds and handles --help and --version; an invalid
/// command line or a missing required option is reported on standard error. Returns the exit status.
int run_program(std::string_view program, cxxopts::Options& options, int argc, char** argv,
                const std::function<int(const cxxopts::ParseResult&)>& run);

} // namespace baobabswitch
