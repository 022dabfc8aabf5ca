#include "executions.h"
#include "measures.h"
#include "nodeprobe.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

workload load_small() {
    auto load = load_workload(BAOBABSWITCH_WORKLOADS "/small.json");
    REQUIRE(load);
    return load.value();
}

request_sample sample_at(double at, const std::string& outcome, double seconds = 0.05) {
    request_sample it;
    it.kind = "lookup";
    it.at = at;
    it.outcome = outcome;
    it.seconds = seconds;
    return it;
}

} // namespace

// Guards against goodput that includes answers after the kind's timeout and outcomes other than done.
TEST_CASE("only requests done within their timeout count as served") {
    const auto load = load_small();
    CHECK(is_served(sample_at(0, "done", 0.999), load));
    CHECK_FALSE(is_served(sample_at(0, "done", 1.001), load));
    CHECK_FALSE(is_served(sample_at(0, "failed"), load));
    CHECK_FALSE(is_served(sample_at(0, "promised"), load));
}

// Guards against a recovery time that ends at the first good window although overload returns later.
TEST_CASE("recovery counts from the surge's end to the last window below the reference") {
    const auto load = load_small();
    std::vector<request_sample> samples;
    for (double at = 0; at < 12; at += 0.01) {
        const bool bad = at < 1 || (at >= 4 && at < 5);
        samples.push_back(sample_at(at, bad ? "not-run" : "done"));
    }
    CHECK(recovery_seconds(samples, load, 1, 0, 12) == Approx(5).margin(0.25));
    for (double at = 11; at < 12; at += 0.01) {
        samples.push_back(sample_at(at, "not-run"));
    }
    CHECK(recovery_seconds(samples, load, 1, 0, 12) < 0);
}

// Guards against child calls counted as retries and against retries masked by child calls.
TEST_CASE("executions beyond the distinct calls of a request are retries") {
    execution_table table;
    table["r1"]["purchase"] = {1, 0};
    table["r1"]["entry"] = {2, 1};
    table["r2"]["lookup"] = {3, 0};
    table["r3"]["purchase"] = {1, 0};
    table["r3"]["entry"] = {0, 1}; // issued but not executed
    const auto sum = summarize(table, load_small());
    CHECK(sum.runs == 7);
    CHECK(sum.retries == 3);
    CHECK(sum.max_retries_per_request == 2);
    CHECK(sum.non_idempotent_repeats == 1);
    CHECK(count_executed(table, {"r1", "r9"}) == 1);
}

// Guards against a crest at which the most important kind alone exceeds capacity, so that the target of no
// refusals can't be met.
TEST_CASE("the demand of the most important kind alone fits at the crest") {
    for (const auto* file : {"vodnik", "authority"}) {
        auto load = load_workload(std::string{BAOBABSWITCH_WORKLOADS "/"} + file + ".json");
        REQUIRE(load);
        for (const auto& it : make_scenarios(load.value(), {})) {
            CHECK(total_seconds(it.phases) > 0);
            CHECK(demand_at(it.phases, total_seconds(it.phases) + 1) == it.phases.back().demand_to);
        }
        auto alone = load.value();
        double share = 0;
        double sum = 0;
        for (auto& [name, kind] : alone.kinds) {
            sum += kind.share;
            share += name == most_important_kind(load.value()) ? kind.share : 0;
            kind.share = name == most_important_kind(load.value()) ? kind.share : 0;
        }
        const auto scenarios = make_scenarios(load.value(), {});
        double greatest = 0;
        for (const auto& it : scenarios) {
            if (it.name == "crest") {
                for (const auto& phase : it.phases) {
                    greatest = std::max(greatest, phase.demand_to);
                }
            }
        }
        const double top_rate = greatest * capacity_per_second(load.value()) * share / sum;
        CHECK(top_rate <= 0.81 * capacity_per_second(alone));
    }
}

// Guards against labels parsed as part of a metric name and against comment lines read as samples.
TEST_CASE("metrics are read with their first label") {
    const auto samples = parse_metrics("# HELP x y\nx_total{invariant=\"retry_bound\"} 12\nplain 3.5\n");
    REQUIRE(samples.size() == 2);
    CHECK(samples.at(0).name == "x_total");
    CHECK(samples.at(0).label == "retry_bound");
    CHECK(samples.at(0).value == 12);
    CHECK(samples.at(1).name == "plain");
}
