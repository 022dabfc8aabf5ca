#pragma once

#include <string_view>

namespace baobabswitch {

/// The operators' console: a single self-contained HTML page. It builds its forms from GET /v1/schema.
extern const std::string_view console_page;

} // namespace baobabswitch
