#pragma once

#include <cstdint>
#include <cstdlib>

/// Returns the first seed of a randomised test: BAOBABSWITCH_SEED, or a fixed default, so that CI runs are
/// reproducible.
inline std::uint64_t first_seed(std::uint64_t default_seed = 20261204) {
    const char* text = std::getenv("BAOBABSWITCH_SEED");
    return text == nullptr || *text == '\0' ? default_seed : std::strtoull(text, nullptr, 10);
}
