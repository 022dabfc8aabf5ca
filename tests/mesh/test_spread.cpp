#include "targettable.h"

#include <catch2/catch.hpp>

#include <array>
#include <set>
#include <vector>

using namespace baobabswitch;

namespace {

/// Successive entries of one node: a start, its leaving (no longer accepting), the next start and its
/// leaving.
std::vector<target_entry> entry_history() {
    target_entry it;
    it.node = "n";
    it.peer = {"127.0.0.1", 8300};
    it.service = "front";
    it.instance = "i-1";
    it.slots = 10;
    it.accepting = true;
    it.started_ms = 100;
    it.revision = {1, 1};
    std::vector<target_entry> entries{it};
    it.leaving = true;
    it.accepting = false;
    it.revision = {1, 2};
    entries.push_back(it);
    it = entries.front();
    it.instance = "i-2";
    it.started_ms = 200;
    it.revision = {1, 4};
    entries.push_back(it);
    it.leaving = true;
    it.accepting = false;
    it.revision = {1, 5};
    entries.push_back(it);
    return entries;
}

constexpr std::size_t observer_count = 3;

/// Number of entries written, and the entry that each observer holds: 0 for none, else its 1-based position.
struct propagation_state {
    std::size_t written = 0;
    std::array<std::size_t, observer_count> known{};

    friend auto operator<=>(const propagation_state&, const propagation_state&) = default;
};

/// Applies a received entry at an observer that holds `known`. Returns the position of the entry it then
/// holds.
std::size_t merge_entry(const std::vector<target_entry>& entries, std::size_t known, std::size_t received) {
    target_table table;
    if (known > 0) {
        update_target(table, entries[known - 1]);
    }
    update_target(table, entries[received - 1]);
    for (std::size_t n = 1; n <= entries.size(); ++n) {
        if (table.by_node.at("n").entry == entries[n - 1]) {
            return n;
        }
    }
    return 0;
}

/// Returns all successor states: the node writes an entry, an observer receives any written entry (lost and
/// delayed responses make them late, repeated and out of order), gets the entry of another observer, or
/// restarts.
std::vector<propagation_state> successors(const std::vector<target_entry>& entries,
                                          const propagation_state& from) {
    std::vector<propagation_state> next;
    if (from.written < entries.size()) {
        next.push_back({from.written + 1, from.known});
    }
    for (std::size_t k = 0; k < observer_count; ++k) {
        for (std::size_t n = 1; n <= from.written; ++n) {
            auto it = from;
            it.known[k] = merge_entry(entries, from.known[k], n);
            next.push_back(it);
        }
        for (std::size_t sender = 0; sender < observer_count; ++sender) {
            if (sender != k && from.known[sender] > 0) {
                auto it = from;
                it.known[k] = merge_entry(entries, from.known[k], from.known[sender]);
                next.push_back(it);
            }
        }
        auto restarted = from;
        restarted.known[k] = 0;
        next.push_back(restarted);
    }
    return next;
}

} // namespace

// Guards against an entry that reverts to an older one, so that a target that left receives calls again.
// Explores all states that 3 observers can reach with lost, late and repeated messages and restarts.
TEST_CASE("no message order restores an older entry") {
    const auto entries = entry_history();
    std::set<propagation_state> visited;
    std::vector<propagation_state> frontier{propagation_state{}};
    std::size_t depth = 0;
    while (!frontier.empty()) {
        std::vector<propagation_state> next;
        for (const auto& from : frontier) {
            for (const auto& it : successors(entries, from)) {
                for (std::size_t k = 0; k < observer_count; ++k) {
                    REQUIRE((it.known[k] == 0 || it.known[k] >= from.known[k]));
                    REQUIRE(it.known[k] <= it.written);
                }
                if (visited.insert(it).second) {
                    next.push_back(it);
                }
            }
        }
        depth += next.empty() ? 0 : 1;
        frontier = std::move(next);
    }
    // Each observer holds any of the entries written so far, or none: the sum of (n + 1)^3 for n from 0 to 4.
    CHECK(visited.size() == 1 + 8 + 27 + 64 + 125);
    CHECK(depth >= 7);
}
