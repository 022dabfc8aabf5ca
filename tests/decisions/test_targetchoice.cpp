#include "targetchoice.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

constexpr milliseconds step{10};

member_table make_members(int count, int own) {
    member_table members;
    for (int n = 0; n < count; ++n) {
        member it;
        it.node = "t" + std::to_string(n);
        it.domain = n < own ? "own" : "other";
        it.service = "s";
        it.state = target_state::up;
        it.slots = 10;
        members[it.node] = it;
    }
    return members;
}

target_table make_table(int count, int own, time_point now, const std::string& node = "n") {
    target_table table;
    table.node = node;
    table.domain = "own";
    update_targets(table, make_members(count, own), now);
    return table;
}

std::size_t count_ejected(const target_table& table) {
    return static_cast<std::size_t>(std::count_if(table.targets.begin(), table.targets.end(),
                                                  [](const auto& it) { return it.second.ejected; }));
}

/// Sends one call per step; the latency of a target is 50 ms times its factor. Returns the number of calls
/// per target.
std::map<std::string, int> run_calls(target_table& table, time_point& now, int steps, random_engine& rng,
                                     const std::map<std::string, double>& factors) {
    std::multimap<time_point, std::pair<std::string, double>> open;
    std::map<std::string, int> counts;
    for (int n = 0; n < steps; ++n, now += step) {
        for (auto it = open.begin(); it != open.end() && it->first <= now; it = open.erase(it)) {
            const auto latency = std::chrono::duration<double, std::milli>{it->second.second};
            record_call_ended(table, it->second.first,
                              {"k", outcome_kind::done, false, std::chrono::duration_cast<duration>(latency),
                               milliseconds{0}},
                              now);
        }
        update_ejections(table, now);
        const auto node = choose_target(table, "s", {}, rng, now).value();
        record_call_sent(table, node);
        ++counts[node];
        const auto factor = factors.find(node);
        const double ms = 50 * (factor == factors.end() ? 1 : factor->second);
        open.emplace(now + milliseconds{std::lround(ms)}, std::pair{node, ms});
    }
    return counts;
}

} // namespace

TEST_CASE("a target more than three times slower than its peers is ejected and probed by single calls",
          "[targetchoice]") {
    // Guards against a slow target that keeps its share of calls, and against probing it with more than one
    // call at a time.
    time_point now{};
    random_engine rng{1};
    auto table = make_table(6, 6, now);
    for (int n = 0; n < 30; ++n, now += step) {
        for (auto& [node, it] : table.targets) {
            record_call_ended(table, node,
                              {"k", outcome_kind::done, false, milliseconds{node == "t2" ? 300 : 50}, {}},
                              now);
        }
        update_ejections(table, now);
    }
    CHECK(table.targets["t2"].ejected);
    now += std::chrono::seconds{11};
    CHECK(choose_target(table, "s", {}, rng, now) == "t2");
    CHECK(choose_target(table, "s", {}, rng, now) != "t2");
    record_call_ended(table, "t2", {"k", outcome_kind::done, false, milliseconds{50}, milliseconds{0}}, now);
    CHECK_FALSE(table.targets["t2"].ejected);
}

TEST_CASE("a slow target gets few calls until it recovers", "[targetchoice]") {
    // Guards against tail latency dominated by the slowest target.
    time_point now{};
    random_engine rng{1};
    auto table = make_table(6, 6, now);
    run_calls(table, now, 500, rng, {});
    auto counts = run_calls(table, now, 800, rng, {{"t2", 5}});
    CHECK(counts["t2"] < 40);
    run_calls(table, now, 1500, rng, {});
    counts = run_calls(table, now, 2000, rng, {});
    CHECK(counts["t2"] > 200);
}

TEST_CASE("nothing is ejected when all targets are slow", "[targetchoice]") {
    // Guards against a general slowdown that ejects healthy targets until none remains.
    time_point now{};
    random_engine rng{1};
    auto table = make_table(3, 3, now);
    run_calls(table, now, 500, rng, {});
    run_calls(table, now, 1000, rng, {{"t0", 5}, {"t1", 5}, {"t2", 5}});
    CHECK(count_ejected(table) == 0);
}

TEST_CASE("consecutive failures eject at most a third of the targets", "[targetchoice]") {
    // Guards against a failure of all targets that ejects so many of them that the rest is overloaded.
    time_point now{};
    for (const int count : {1, 2, 3, 6, 7}) {
        auto table = make_table(count, count, now);
        for (int n = 0; n < 10; ++n) {
            for (auto& [node, it] : table.targets) {
                record_call_ended(table, node, {"k", outcome_kind::unknown, true, {}, milliseconds{0}}, now);
            }
            update_ejections(table, now);
            CHECK(count_ejected(table) <= static_cast<std::size_t>(count) / 3);
        }
        CHECK(count_ejected(table) == static_cast<std::size_t>(count) / 3);
        random_engine rng{1};
        CHECK(choose_target(table, "s", {}, rng, now));
    }
}

TEST_CASE("a subset has 20 targets and changes little when a target leaves", "[targetchoice]") {
    // Guards against connections from every node to every target, and against a target that leaves and
    // thereby changes most of a subset.
    const time_point now{};
    const auto subset = make_table(100, 30, now).subsets["s"];
    CHECK(subset.size() == 20);
    CHECK(make_table(100, 3, now).subsets["s"].size() == 20);
    CHECK(make_table(100, 100, now).subsets["s"].size() == 20);
    CHECK(make_table(100, 30, now, "m").subsets["s"] != subset);
    auto next = make_table(99, 30, now).subsets["s"];
    std::size_t same = 0;
    for (const auto& it : subset) {
        same += std::find(next.begin(), next.end(), it) == next.end() ? 0 : 1;
    }
    CHECK(same >= 19);
}

TEST_CASE("the share of calls of a new target increases over ten seconds", "[targetchoice]") {
    // Guards against a cold target that gets its full share of calls immediately.
    time_point now{};
    random_engine rng{1};
    auto table = make_table(5, 5, now);
    run_calls(table, now, 1500, rng, {});
    update_targets(table, make_members(6, 6), now);
    CHECK(run_calls(table, now, 200, rng, {})["t5"] < 20);
    run_calls(table, now, 1000, rng, {});
    CHECK(run_calls(table, now, 1200, rng, {})["t5"] > 100);
}
