#include "thresholds.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

constexpr milliseconds tick{100};
constexpr double slots = 10;

/// Simulates a demand in slots at importance 9, 5 and 1, filtered as by an entry node. Returns the demand
/// admitted in the last tick.
double apply_demand(demand_meter& meter, time_point& now, double seconds, double demand_9, double demand_5,
                    double demand_1) {
    double admitted = 0;
    const auto end = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    int ticks = 0;
    for (; now < end; now += tick, ++ticks) {
        admitted = 0;
        for (const auto& [importance, demand] : {std::pair{9, demand_9}, {5, demand_5}, {1, demand_1}}) {
            const double share = admitted_share(meter.level, static_cast<importance_level>(importance), 0);
            count_demand(meter, static_cast<importance_level>(importance), demand * share * 100, 1 / share,
                         false);
            admitted += demand * share;
        }
        update_level(meter, slots, 0, now + tick);
    }
    return admitted;
}

} // namespace

TEST_CASE("the level converges when one kind exceeds the capacity", "[thresholds]") {
    // Guards against oscillation between admitting all and none of the kind that exceeds the capacity.
    demand_meter meter;
    time_point now{};
    apply_demand(meter, now, 5, 4, 12, 30);
    CHECK(meter.level > 5);
    CHECK(meter.level < 6);
    double least = slots * 2;
    double most = 0;
    for (int n = 0; n < 20; ++n) {
        const double admitted = apply_demand(meter, now, 0.1, 4, 12, 30);
        least = std::min(least, admitted);
        most = std::max(most, admitted);
    }
    CHECK(least > slots * 0.95);
    CHECK(most < slots * 1.25);
}

TEST_CASE("the most important kind is admitted while its own demand fits", "[thresholds]") {
    // Guards against refusals of the most important kind when the level overshoots.
    demand_meter meter;
    time_point now{};
    for (const double demand : {1.0, 20.0, 200.0}) {
        apply_demand(meter, now, 2, 9, demand, demand);
        CHECK(admitted_share(meter.level, 9, 0) == 1);
    }
}

TEST_CASE("refusals end within seconds when the load falls", "[thresholds]") {
    // Guards against metastable overload, which continues after its trigger ends.
    demand_meter meter;
    time_point now{};
    apply_demand(meter, now, 10, 5, 100, 100);
    CHECK(admitted_share(meter.level, 1, 0) < 0.05);
    apply_demand(meter, now, 4, 2, 2, 2);
    CHECK(meter.level == 0);
}

TEST_CASE("reported levels decay when no responses arrive", "[thresholds]") {
    // Guards against an entry node that keeps refusing calls because it sends none and so gets no new
    // reports.
    threshold_table table;
    const time_point now{};
    store_thresholds(table, "map-depot", "a", {{"map-page", 4.5}}, now);
    store_thresholds(table, "map-depot", "b", {}, now);
    CHECK(threshold_level(table, "map-depot", "map-page", now) == Approx(2.25));
    CHECK(threshold_level(table, "map-depot", "map-page", now + std::chrono::seconds{2}) == 0);
    store_thresholds(table, "map-depot", "a", {}, now + tick);
    CHECK(threshold_level(table, "map-depot", "map-page", now + tick) == 0);
}

TEST_CASE("downstream levels are reported for the parent kind only", "[thresholds]") {
    // Guards against admitting parent calls whose child calls are refused at the end of the call chain.
    downstream_levels downstream;
    const time_point now{};
    store_child_level(downstream, "custody-transfer", "ledger-entry", 7.5, now);
    const std::vector<std::string> kinds{"custody-transfer", "lot-lookup"};
    const auto levels = report_thresholds(downstream, 2, kinds, now);
    const auto read = parse_thresholds(format_thresholds(levels));
    REQUIRE(read.size() == 2);
    CHECK(read.at(0).level == Approx(7.5));
    CHECK(read.at(1).level == Approx(2));
    CHECK(parse_thresholds("a=99,b=,=,c=nan,d").empty());
}
