#include "targetdirectory.h"

#include <catch2/catch.hpp>

#include <array>
#include <set>
#include <vector>

using namespace baobabswitch;

namespace {

/// The entry of one node over its history: a start, its leaving, its end (not accepting), and the next start.
std::vector<target_entry> history() {
    target_entry it;
    it.node = "n";
    it.peer = {"127.0.0.1", 8300};
    it.service = "front";
    it.instance = "i-1";
    it.slots = 10;
    it.accepting = true;
    it.started_ms = 100;
    it.revision = 1;
    std::vector<target_entry> all{it};
    it.leaving = true;
    it.accepting = false;
    it.revision = 2;
    all.push_back(it);
    it = all.front();
    it.instance = "i-2";
    it.started_ms = 200;
    it.revision = 4;
    all.push_back(it);
    it.leaving = true;
    it.accepting = false;
    it.revision = 5;
    all.push_back(it);
    return all;
}

constexpr std::size_t observers = 3;

/// How much of the history is written, and what each observer knows of it: 0 nothing, else the place.
struct spread_state {
    std::size_t written = 0;
    std::array<std::size_t, observers> known{};

    friend auto operator<=>(const spread_state&, const spread_state&) = default;
};

/// Lets an observer that knows one entry take in another, by the project's own code.
std::size_t take(const std::vector<target_entry>& all, std::size_t known, std::size_t told) {
    target_table table;
    if (known > 0) {
        update_target(table, all[known - 1]);
    }
    update_target(table, all[told - 1]);
    for (std::size_t n = 1; n <= all.size(); ++n) {
        if (table.by_node.at("n").entry == all[n - 1]) {
            return n;
        }
    }
    return 0;
}

/// Every state that one step leads to: the node writes, an observer gets any written entry (late, repeated
/// and out of order, as lost and delayed answers cause), one tells another what it knows, or one restarts.
std::vector<spread_state> steps(const std::vector<target_entry>& all, const spread_state& from) {
    std::vector<spread_state> next;
    if (from.written < all.size()) {
        next.push_back({from.written + 1, from.known});
    }
    for (std::size_t k = 0; k < observers; ++k) {
        for (std::size_t n = 1; n <= from.written; ++n) {
            auto it = from;
            it.known[k] = take(all, from.known[k], n);
            next.push_back(it);
        }
        for (std::size_t teller = 0; teller < observers; ++teller) {
            if (teller != k && from.known[teller] > 0) {
                auto it = from;
                it.known[k] = take(all, from.known[k], from.known[teller]);
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

// Guards against an entry that falls back to an older one, so that a target that left gets calls again. All
// states that 3 observers can reach are visited, with lost, late and repeated messages and restarts.
TEST_CASE("no order of messages brings an older entry back") {
    const auto all = history();
    std::set<spread_state> seen;
    std::vector<spread_state> frontier{spread_state{}};
    std::size_t depth = 0;
    while (!frontier.empty()) {
        std::vector<spread_state> next;
        for (const auto& from : frontier) {
            for (const auto& it : steps(all, from)) {
                for (std::size_t k = 0; k < observers; ++k) {
                    REQUIRE((it.known[k] == 0 || it.known[k] >= from.known[k]));
                    REQUIRE(it.known[k] <= it.written);
                }
                if (seen.insert(it).second) {
                    next.push_back(it);
                }
            }
        }
        depth += next.empty() ? 0 : 1;
        frontier = std::move(next);
    }
    // Each observer knows any of the entries written so far, or none: the sum of (n + 1)^3 for n from 0 to 4.
    CHECK(seen.size() == 1 + 8 + 27 + 64 + 125);
    CHECK(depth >= 7);
}
