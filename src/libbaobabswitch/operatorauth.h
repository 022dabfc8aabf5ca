#pragma once

#include <span>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Reports whether the value of an Authorization header, "Bearer TOKEN", carries a token whose digest is
/// listed (see token_digest()). Compares in constant time.
bool has_operator_token(std::span<const std::string> digests, std::string_view authorization);

} // namespace baobabswitch
