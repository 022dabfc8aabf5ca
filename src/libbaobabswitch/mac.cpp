#include "mac.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace baobabswitch {

namespace {

const unsigned char* bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string to_hex(std::span<const unsigned char> data) {
    std::string buf(data.size() * 2 + 1, '\0');
    sodium_bin2hex(buf.data(), buf.size(), data.data(), data.size());
    buf.pop_back();
    return buf;
}

std::string from_hex(std::string_view text) {
    std::string buf(text.size() / 2, '\0');
    std::size_t n = 0;
    const char* end = nullptr;
    const int failed = sodium_hex2bin(reinterpret_cast<unsigned char*>(buf.data()), buf.size(), text.data(),
                                      text.size(), nullptr, &n, &end);
    const bool complete = failed == 0 && end == text.data() + text.size();
    buf.resize(complete ? n : 0);
    return buf;
}

std::string compute_hmac(std::string_view secret, std::span<const std::string_view> parts) {
    crypto_auth_hmacsha256_state state;
    crypto_auth_hmacsha256_init(&state, bytes(secret), secret.size());
    for (const auto& it : parts) {
        const std::uint64_t n = it.size();
        std::array<unsigned char, sizeof n> length{};
        for (std::size_t k = 0; k < length.size(); ++k) {
            length.at(k) = static_cast<unsigned char>(n >> (8 * k));
        }
        crypto_auth_hmacsha256_update(&state, length.data(), length.size());
        crypto_auth_hmacsha256_update(&state, bytes(it), it.size());
    }
    std::array<unsigned char, crypto_auth_hmacsha256_BYTES> code{};
    crypto_auth_hmacsha256_final(&state, code.data());
    return to_hex(code);
}

const message_key* find_key(const key_ring& ring, std::string_view id) {
    const auto it =
        std::find_if(ring.keys.begin(), ring.keys.end(), [&](const auto& key) { return key.id == id; });
    return it == ring.keys.end() ? nullptr : &*it;
}

} // namespace

result<key_ring> make_key_ring(std::span<const std::pair<std::string, std::string>> keys,
                               std::string active) {
    if (sodium_init() < 0) {
        return error{error_kind::internal, "the cryptographic library can't be initialized",
                     "check the VM's entropy source"};
    }
    key_ring ring;
    for (const auto& [id, secret] : keys) {
        auto raw = from_hex(secret);
        if (raw.size() != crypto_auth_hmacsha256_KEYBYTES) {
            return error{error_kind::bad_settings, "the secret of message key \"" + id + "\" is malformed",
                         "write 64 hexadecimal digits, for example from: openssl rand -hex 32"};
        }
        if (find_key(ring, id) != nullptr) {
            return error{error_kind::bad_settings, "message key \"" + id + "\" is listed twice",
                         "give each key its own id"};
        }
        ring.keys.push_back({id, std::move(raw)});
    }
    if (find_key(ring, active) == nullptr) {
        return error{error_kind::bad_settings, "the active message key \"" + active + "\" is not listed",
                     "add it to security.keys or set security.active to a listed id"};
    }
    ring.active = std::move(active);
    return ring;
}

message_mac sign(const key_ring& ring, std::span<const std::string_view> parts) {
    return {ring.active, compute_hmac(find_key(ring, ring.active)->secret, parts)};
}

result<void> verify(const key_ring& ring, const message_mac& mac, std::span<const std::string_view> parts) {
    const auto* key = find_key(ring, mac.key_id);
    if (key == nullptr) {
        return error{error_kind::bad_mac, "the message is signed with the unknown key \"" + mac.key_id + "\"",
                     "add the key to security.keys on this node, or update the sender's settings"};
    }
    const auto expected = compute_hmac(key->secret, parts);
    if (expected.size() != mac.code.size() ||
        sodium_memcmp(expected.data(), mac.code.data(), expected.size()) != 0) {
        return error{error_kind::bad_mac, "the message's authentication code doesn't match",
                     "check that both nodes hold the same secret under key \"" + mac.key_id + "\""};
    }
    return success();
}

std::string random_hex(std::size_t n) {
    std::string buf(n, '\0');
    randombytes_buf(buf.data(), buf.size());
    return to_hex({bytes(buf), buf.size()});
}

std::string token_digest(std::string_view token) {
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(), bytes(token), token.size(), nullptr, 0);
    return to_hex(digest);
}

} // namespace baobabswitch
