#pragma once

#include "errors.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// A shared secret and the id by which peers refer to it.
struct message_key {
    std::string id;
    std::string secret; ///< 32 raw bytes
};

/// The keys accepted for verification, and the id of the one used for signing.
struct key_ring {
    std::vector<message_key> keys;
    std::string active;
};

/// A message authentication code and the id of the key that it was computed with.
struct message_mac {
    std::string key_id;
    std::string code; ///< HMAC-SHA-256, 64 hexadecimal digits
};

/// Builds a ring from (id, 64 hexadecimal digits) pairs.
/// Fails with bad_settings on a malformed secret, a repeated id or an active id that is not listed.
result<key_ring> make_key_ring(std::span<const std::pair<std::string, std::string>> keys, std::string active);

/// Signs the parts with the active key. The code covers the length of each part, so that bytes can't be moved
/// from one part to the next.
message_mac sign(const key_ring& ring, std::span<const std::string_view> parts);

/// Checks a code in constant time. Fails with bad_mac for an unlisted key or a code that doesn't match.
result<void> verify(const key_ring& ring, const message_mac& mac, std::span<const std::string_view> parts);

/// Returns n random bytes as hexadecimal digits.
std::string random_hex(std::size_t n);

/// Returns the digest by which the settings identify an operator's token (BLAKE2b, hexadecimal).
std::string token_digest(std::string_view token);

} // namespace baobabswitch
