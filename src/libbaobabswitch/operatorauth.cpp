#include "operatorauth.h"

#include "mac.h"

#include <sodium.h>

namespace baobabswitch {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

} // namespace

bool has_operator_token(std::span<const std::string> digests, std::string_view authorization) {
    if (!authorization.starts_with(bearer_prefix) || authorization.size() == bearer_prefix.size()) {
        return false;
    }
    const auto digest = token_digest(authorization.substr(bearer_prefix.size()));
    bool found = false;
    for (const auto& it : digests) {
        const bool same =
            it.size() == digest.size() && sodium_memcmp(it.data(), digest.data(), digest.size()) == 0;
        found = found || same;
    }
    return found;
}

} // namespace baobabswitch
