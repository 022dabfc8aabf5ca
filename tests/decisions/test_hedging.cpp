#include "hedging.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

TEST_CASE("hedges stay within their share of calls", "[hedging]") {
    // Guards against hedges that double the load when everything is slow.
    hedge_table table;
    int hedges = 0;
    for (int n = 0; n < 1000; ++n) {
        add_hedge_credit(table, 5);
        hedges += take_hedge(table) ? 1 : 0;
    }
    CHECK(hedges <= 50);
    CHECK(hedges >= 49);
    add_hedge_credit(table, 0);
    CHECK_FALSE(take_hedge(table));
}

TEST_CASE("a hedge is delayed by the 95th percentile latency of its kind", "[hedging]") {
    // Guards against hedges for calls of usual latency, and against a delay computed from too few or outdated
    // samples.
    hedge_table table;
    CHECK_FALSE(hedge_delay(table, "page"));
    for (int n = 1; n <= 200; ++n) {
        record_latency(table, "page", milliseconds{n});
    }
    CHECK(hedge_delay(table, "page").value() == milliseconds{190});
    // Old samples are overwritten, so the delay follows recent latencies.
    for (int n = 0; n < 200; ++n) {
        record_latency(table, "page", milliseconds{10});
    }
    CHECK(hedge_delay(table, "page").value() == milliseconds{10});
}
