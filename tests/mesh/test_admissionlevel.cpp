#include "admissionlevel.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;
using std::chrono::milliseconds;

namespace {

const boot_time_point start{std::chrono::hours{1}};

} // namespace

// Guards against an admission level that ignores overload or stays low after it.
TEST_CASE("the level falls under overload and rises again when capacity is free") {
    level_control it;
    it.level = it.integral = it.max_level = 3;
    for (int n = 0; n < 20; ++n) {
        update_level(it, 1.6, milliseconds{50});
    }
    CHECK(it.level < 2);
    for (int n = 0; n < 200; ++n) {
        update_level(it, 3, milliseconds{50});
    }
    CHECK(it.level > 0); // some requests are still admitted; their responses show when capacity is free again
    for (int n = 0; n < 100; ++n) {
        update_level(it, 0.2, milliseconds{50});
    }
    CHECK(it.level == 3);
}

// Guards against an admission level that stays low after a short surge, which leaves capacity idle while
// requests are rejected.
TEST_CASE("the level recovers quickly after a short surge") {
    level_control it;
    it.level = it.integral = it.max_level = 3;
    for (int n = 0; n < 20; ++n) {
        update_level(it, 1.6, milliseconds{50});
    }
    const double lowest = it.level;
    for (int n = 0; n < 10; ++n) {
        update_level(it, 0.6, milliseconds{50});
    }
    CHECK(it.level > lowest + 0.9);
    CHECK(it.level > 2.3);
}

// Guards against an overloaded CPU that the admission level does not reflect.
TEST_CASE("a standing delay of the event loop counts as utilization") {
    CHECK(utilization_of_delay(milliseconds{0}) == 0);
    CHECK(utilization_of_delay(milliseconds{2}) < 0.5);
    CHECK(utilization_of_delay(milliseconds{20}) > 1.5);
    CHECK(utilization_of_delay(std::chrono::seconds{3}) <= 2);
    loop_delays delays;
    boot_duration standing{};
    for (int n = 0; n < 4; ++n) {
        standing = min_recent_delay(delays, milliseconds{20 + n});
    }
    CHECK(standing == milliseconds{20});
}

// Guards against rejections at low load when other processes keep the CPU busy, so that most ticks of the
// event loop are late but some are on time (soak seeds 101 and 141).
TEST_CASE("late ticks between timely ones do not change the level") {
    level_control it;
    it.level = it.integral = it.max_level = 3;
    loop_delays delays;
    for (int n = 0; n < 40; ++n) {
        const auto delay = n % 4 == 0 ? milliseconds{0} : milliseconds{300};
        update_level(it, utilization_of_delay(min_recent_delay(delays, delay)), milliseconds{50});
        REQUIRE(it.level == 3);
    }
}

// Guards against admitting requests when a service further down their call graph has no capacity.
TEST_CASE("a route's level is the lowest level of the services that it calls directly or indirectly") {
    admission_estimates estimates;
    estimates.max_level = 3;
    CHECK(level_for_route(estimates, "booking", start).level == 3);
    observe_costs(estimates, "booking", {{"desk", 140}, {"permits", 240}});
    observe_costs(estimates, "map", {{"depot", 120}});
    observe_level(estimates, "desk", {2.5, start});
    observe_level(estimates, "permits", {1.2, start});
    const auto booking = level_for_route(estimates, "booking", start);
    CHECK(booking.level == Approx(1.2));
    CHECK(booking.service == "permits");
    CHECK(level_for_route(estimates, "map", start).level == 3);
}

// Guards against a service whose requests are rejected forever: while every request is rejected, no response
// can report a new level.
TEST_CASE("a level without updates rises over time") {
    admission_estimates estimates;
    estimates.max_level = 3;
    observe_costs(estimates, "r", {{"s", 10}});
    observe_level(estimates, "s", {0.1, start});
    CHECK(level_for_route(estimates, "r", start + milliseconds{300}).level == Approx(0.1));
    CHECK(level_for_route(estimates, "r", start + milliseconds{1400}).level == Approx(1.1));
    CHECK(level_for_route(estimates, "r", start + std::chrono::seconds{9}).level == 3);
}

// Guards against delayed level reports that overwrite newer ones.
TEST_CASE("older reports of a level are ignored") {
    admission_estimates estimates;
    observe_level(estimates, "s", {1, start});
    observe_level(estimates, "s", {3, start - milliseconds{500}});
    CHECK(estimates.levels.at("s").level == 1);
}
