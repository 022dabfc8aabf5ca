#pragma once

#include <compare>
#include <cstdint>

namespace baobabswitch {

/// Position in the history of the platform's store. The store begins a new era each time it comes back from
/// an older copy: its revision counter falls back, and numbers are given out again for other changes. Numbers
/// are therefore compared only within an era, and any revision of a later era is newer.
struct era_revision {
    std::uint64_t era = 0;    ///< 0 if the store does not tell one
    std::uint64_t number = 0; ///< 0 if unknown

    friend bool operator==(const era_revision&, const era_revision&) = default;
    friend auto operator<=>(const era_revision&,
                            const era_revision&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14
};

/// Returns whether a revision is known.
constexpr bool is_known(const era_revision& it) {
    return it.number != 0;
}

} // namespace baobabswitch
