#include "retrybudget.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace baobabswitch;
using std::chrono::milliseconds;

// Guards against retries of all nodes together that exceed the budget in any sliding window.
TEST_CASE("the nodes' shares together stay within the budget in every window") {
    std::mt19937_64 random{first_seed()};
    constexpr int nodes = 16;
    constexpr double slack = 49;
    const auto window = std::chrono::seconds{10};
    std::vector<retry_budget> budgets(nodes);
    for (auto& it : budgets) {
        it.bounds = {0.2, slack, window};
        it.nodes = nodes;
    }
    boot_time_point now{std::chrono::hours{1}};
    std::deque<boot_time_point> first_calls;
    std::deque<boot_time_point> retries;
    for (int n = 0; n < 60000; ++n) {
        // Load changes by a factor of 10, so that many old first attempts leave the window while few new ones
        // enter.
        now += milliseconds{(n / 10000) % 2 == 0 ? 1 : 10};
        auto& budget = budgets[random() % nodes];
        count_first_call(budget, "s", now);
        first_calls.push_back(now);
        while (random() % 2 == 0 && may_retry(budget, "s", now)) {
            count_retry(budget, "s", now);
            retries.push_back(now);
        }
        while (first_calls.front() + window < now) {
            first_calls.pop_front();
        }
        while (!retries.empty() && retries.front() + window < now) {
            retries.pop_front();
        }
        REQUIRE(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(first_calls.size()) + slack);
    }
    CHECK(!retries.empty());
}

// Guards against a retry budget that stays exhausted after the window has passed.
TEST_CASE("retries expire with the window") {
    retry_budget budget;
    budget.bounds = {0.2, 10, std::chrono::seconds{10}};
    const boot_time_point start{std::chrono::hours{1}};
    while (may_retry(budget, "s", start)) {
        count_retry(budget, "s", start);
    }
    CHECK_FALSE(may_retry(budget, "s", start + std::chrono::seconds{8}));
    CHECK(may_retry(budget, "s", start + std::chrono::seconds{11}));
    CHECK(may_retry(budget, "other", start));
}
