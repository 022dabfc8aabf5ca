#pragma once

#include <string_view>

namespace baobabswitch {

/// The operators' console: one HTML page without further files. Its forms are made from GET /v1/schema.
extern const std::string_view console_page;

} // namespace baobabswitch
