#include "storebudget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace baobabswitch;

// Guards against nodes that retry in lockstep, and against delays over 30 s.
TEST_CASE("the delay before a retry grows from 200 ms to 30 s with full jitter", "[storebudget]") {
    std::mt19937_64 rng{7};
    backoff state;
    CHECK(delay_bound(state) == milliseconds{200});
    duration least = backoff_cap;
    duration greatest{0};
    for (int n = 0; n < 1000; ++n) {
        const auto bound = delay_bound(state);
        const auto delay = next_delay(state, rng);
        REQUIRE(delay >= duration::zero());
        REQUIRE(delay <= bound);
        least = std::min(least, delay);
        greatest = std::max(greatest, delay);
    }
    CHECK(delay_bound(state) == milliseconds{30'000});
    CHECK(least < milliseconds{1000});
    CHECK(greatest > milliseconds{29'000});
    reset(state);
    CHECK(delay_bound(state) == milliseconds{200});
}

// Guards against a platform load that grows with the number of nodes, or that bursts when a whole domain
// restarts.
TEST_CASE("all members of a domain together stay within its budget", "[storebudget]") {
    const std::size_t members = GENERATE(1, 3, 20, 122);
    const auto operation = GENERATE(store_operation::read, store_operation::write);
    invariant_table invariants;
    const time_point start{std::chrono::hours{1}};
    std::vector<store_budget> nodes(members, make_store_budget(start));
    std::size_t calls = 0;
    constexpr int seconds = 60;
    for (auto now = start; now < start + std::chrono::seconds{seconds}; now += milliseconds{10}) {
        for (std::size_t n = 0; n < members; ++n) {
            calls += try_spend(nodes.at(n), operation, store_share::member, members, now, invariants) ? 1 : 0;
            if (n < watchers_per_domain) {
                calls +=
                    try_spend(nodes.at(n), operation, store_share::watcher, members, now, invariants) ? 1 : 0;
            }
        }
    }
    const auto rate = operation == store_operation::read ? domain_reads_per_second : domain_writes_per_second;
    CHECK(static_cast<double>(calls) <= rate * seconds);
    CHECK(static_cast<double>(calls) > rate * seconds * 0.7);
    CHECK(violations(invariants) == 0);
    CHECK(invariants.checked.at(static_cast<std::size_t>(invariant::store_rate)) == calls);
}

// Guards against a wait that ends too early and is repeated in a busy loop.
TEST_CASE("the time until a call is allowed is exact", "[storebudget]") {
    invariant_table invariants;
    time_point now{std::chrono::hours{1}};
    auto budget = make_store_budget(now);
    for (int n = 0; n < 10; ++n) {
        const auto wait = time_until_allowed(budget, store_operation::write, store_share::watcher, 122, now);
        CHECK(wait > milliseconds{1990});
        CHECK_FALSE(try_spend(budget, store_operation::write, store_share::watcher, 122, now, invariants));
        now += wait;
        CHECK(try_spend(budget, store_operation::write, store_share::watcher, 122, now, invariants));
    }
}
