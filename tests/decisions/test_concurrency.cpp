#include "concurrency.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

/// Simulates a target whose calls take 40 ms times a factor that depends on the number of running calls.
template <typename Factor>
std::size_t run_rounds(concurrency_limit& state, int rounds, Factor factor) {
    std::size_t limit = current_concurrency(state);
    for (int n = 0; n < rounds; ++n) {
        constexpr double base_ms = 40;
        const double ms = base_ms * factor(static_cast<double>(limit));
        for (int sample = 0; sample < 10; ++sample) {
            record_concurrency_sample(state, "page", std::chrono::microseconds{std::lround(ms * 1000)}, true);
        }
        limit = update_concurrency(state);
        CHECK(limit >= 1);
        CHECK(limit <= state.configured);
    }
    return limit;
}

} // namespace

TEST_CASE("the limit decreases for a target that is slow because of its load", "[concurrency]") {
    // Guards against a limit that stays above the number of calls that the target can process concurrently.
    concurrency_limit state;
    configure_concurrency(state, 20);
    CHECK(run_rounds(state, 50, [](double) { return 1.0; }) == 20);
    // The target processes 5 calls at full speed; more calls share that capacity.
    const auto limit = run_rounds(state, 100, [](double n) { return std::max(1.0, n / 5); });
    CHECK(limit <= 12);
    CHECK(limit >= 5);
    CHECK(run_rounds(state, 50, [](double) { return 1.0; }) == 20);
}

TEST_CASE("the limit is restored for a target that is slow at any load", "[concurrency]") {
    // Guards against a limit that decreases to 1 although that doesn't make the target faster, which would
    // reduce throughput to 1/20.
    concurrency_limit state;
    configure_concurrency(state, 20);
    run_rounds(state, 50, [](double) { return 1.0; });
    run_rounds(state, 10, [](double) { return 3.0; });
    CHECK(run_rounds(state, 40, [](double) { return 3.0; }) >= 12);
    CHECK(run_rounds(state, 150, [](double) { return 1.0; }) == 20);
}
