#include "fleetmodel.h"

#include "seed.h"

#include <catch2/catch.hpp>

namespace {

constexpr unsigned seeds = 5;

/// Adds up the counts of several seeds.
std::vector<fleet_kind> play_seeds(fleet_options options) {
    std::vector<fleet_kind> sum;
    for (unsigned n = 0; n < seeds; ++n) {
        options.seed = first_seed() + n;
        const auto kinds = play_fleet(options, booking_site_kinds()).kinds;
        sum.resize(kinds.size());
        for (std::size_t it = 0; it < kinds.size(); ++it) {
            auto total = kinds[it];
            total.asked += sum[it].asked;
            total.served += sum[it].served;
            total.refused += sum[it].refused;
            total.failed += sum[it].failed;
            sum[it] = total;
        }
    }
    return sum;
}

double worth_per_s(const std::vector<fleet_kind>& kinds, const fleet_options& options) {
    double worth = 0;
    for (const auto& it : kinds) {
        worth += it.worth * it.served;
    }
    return worth / seeds / (options.seconds - options.count_from_s);
}

/// A load that takes all usable slots of the tightest service, without waves.
fleet_options load_at_capacity() {
    fleet_options it;
    it.wave_swing = 0;
    return it;
}

} // namespace

// Guards against a surge in which late reports of the tightest service's level make entry nodes refuse the
// most important requests, although their own demand fits.
TEST_CASE("two seconds into a surge to twice the capacity no request of the most important kind is refused",
          "[load]") {
    auto load = load_at_capacity();
    load.surge_from_s = 5;
    load.surge_to_s = 20;
    load.surge_factor = 2;
    load.count_from_s = 7;
    for (const double requests_per_s : {700., 900.}) {
        load.requests_per_s = requests_per_s;
        const auto kinds = play_seeds(load);
        CHECK(kinds[1].name == "booking");
        CHECK(kinds[1].refused == 0);
        // Beyond those that take longer than their objective even without load.
        CHECK(kinds[1].failed * 1000 <= kinds[1].asked);
    }
}

// Guards against goodput that falls when the load rises past the capacity.
TEST_CASE("goodput at twice the capacity is at least 95% of that at capacity", "[load]") {
    auto load = load_at_capacity();
    const auto at_capacity = worth_per_s(play_seeds(load), load);
    load.requests_per_s *= 2;
    CHECK(worth_per_s(play_seeds(load), load) >= 0.95 * at_capacity);
}

// Guards against requests with a short objective that are starved by the calls of less important ones: a
// purchase waits at most an eighth of its objective, calls of running requests wait as long as these have
// time.
TEST_CASE("the two most important kinds are served while their own demand fits", "[load]") {
    auto load = load_at_capacity();
    for (const double factor : {1.0, 1.3, 1.6}) {
        load.requests_per_s = 1000 * factor;
        const auto kinds = play_seeds(load);
        for (const auto* it : {&kinds[1], &kinds[2]}) {
            INFO(it->name << " at " << factor);
            CHECK(it->served >= 0.95 * it->asked);
        }
    }
}
