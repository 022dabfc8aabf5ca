#include "targettable.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;
using std::chrono::milliseconds;

namespace {

target_entry make_entry(std::string node, std::string domain, std::uint64_t started_ms = 100) {
    target_entry it;
    it.node = std::move(node);
    it.domain = std::move(domain);
    it.service = "front";
    it.instance = it.node + "-1";
    it.slots = 10;
    it.accepting = true;
    it.started_ms = started_ms;
    return it;
}

std::string choose_node(target_table& table, boot_time_point now, std::vector<std::string> excluded = {}) {
    const auto* it = choose_target(table, {"front", "east", excluded, now, 0});
    return it == nullptr ? "" : it->entry.node;
}

const boot_time_point start{std::chrono::hours{1}};

} // namespace

// Guards against traffic across failure domains while the local one has capacity, and against queueing in the
// local one while another is idle.
TEST_CASE("the local failure domain is preferred until it is clearly busier") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    update_target(table, make_entry("far", "west"));
    CHECK(choose_node(table, start) == "near");
    record_report(table.by_node.at("near"), {9, 0, 10, 1}, start);
    CHECK(choose_node(table, start) == "far");
    record_report(table.by_node.at("far"), {10, 5, 10, 1}, start);
    CHECK(choose_node(table, start) == "near");
}

// Guards against calls to a slow target while a faster one is available.
TEST_CASE("a slow target is avoided") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    update_target(table, make_entry("other", "east"));
    record_report(table.by_node.at("near"), {3, 0, 10, 6}, start);
    record_report(table.by_node.at("other"), {4, 0, 10, 1}, start);
    CHECK(choose_node(table, start) == "other");
}

// Guards against calls to a target that fails many of them while another one responds, and against excluding
// it permanently.
TEST_CASE("a target with a high failure rate is avoided until the rate falls") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    update_target(table, make_entry("other", "east"));
    auto& near = table.by_node.at("near");
    auto& other = table.by_node.at("other");
    for (int n = 0; n < 50; ++n) {
        record_outcome(near, n % 5 > 1, start);
        record_outcome(other, true, start);
    }
    CHECK(failure_rate(near, start) > 0.2);
    record_report(near, {3, 0, 10, 1}, start);
    record_report(other, {4, 0, 10, 1}, start);
    CHECK(choose_node(table, start) == "other");
    CHECK(failure_rate(near, start + std::chrono::seconds{10}) < 0.05);
    // At equal failure rates, the load decides.
    for (int n = 0; n < 50; ++n) {
        record_outcome(other, n % 5 > 1, start);
    }
    CHECK(choose_node(table, start) == "near");
}

// Guards against calls to an unreachable node while others respond, and against never trying it again.
TEST_CASE("an unreachable target is avoided for a bounded time") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    update_target(table, make_entry("far", "west"));
    for (int n = 0; n < 20; ++n) {
        record_unavailable(table.by_node.at("near"), start);
    }
    CHECK(choose_node(table, start) == "far");
    CHECK(choose_node(table, start, {"far"}) == "near");
    CHECK(choose_node(table, start + milliseconds{1700}) == "near");
    record_available(table.by_node.at("near"));
    CHECK(table.by_node.at("near").consecutive_failures == 0);
}

// Guards against requests that try lost VMs again and again, since their entries remain in the store, and
// against a VM that is never used again after a partition.
TEST_CASE("a target on a lost VM is chosen only if there is no other, until a message arrives from there") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    update_target(table, make_entry("far", "west"));
    auto& near = table.by_node.at("near");
    record_unreachable(near.presence, start);
    const auto later = start + std::chrono::minutes{10};
    CHECK(choose_node(table, later) == "far");
    CHECK(choose_node(table, later, {"far"}) == "near");
    record_heard(near.presence, false, later);
    CHECK(choose_node(table, later) == "near");
}

// Guards against lost VMs that take up a share of the retry budget forever, and against dividing it among
// fewer nodes during a short partition.
TEST_CASE("a VM that has been lost for long does not count as present") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    update_target(table, make_entry("far", "west"));
    auto& far = table.by_node.at("far").presence;
    record_unreachable(far, start);
    record_unreachable(far, start + std::chrono::seconds{29});
    CHECK(present_nodes(table, start + std::chrono::seconds{29}) == 2);
    CHECK(present_nodes(table, start + std::chrono::seconds{31}) == 1);
    record_heard(far, false, start + std::chrono::seconds{32});
    CHECK(present_nodes(table, start + std::chrono::seconds{100}) == 2);
}

// Guards against checks that keep a link busy while many VMs are lost, and against a VM that is found only
// long after it is back.
TEST_CASE("checks of a lost VM become rarer the longer it is lost") {
    node_presence it;
    auto now = start;
    unsigned checks = 0;
    for (record_unreachable(it, now); now - start < std::chrono::minutes{10}; now += milliseconds{50}) {
        if (is_check_due(it, now)) {
            ++checks;
            const auto lost_for = now - start;
            record_unreachable(it, now);
            CHECK(it.next_check - now <= std::max<boot_duration>(milliseconds{200}, lost_for / 4));
            CHECK(it.next_check - now <= std::chrono::seconds{30});
        }
    }
    CHECK(checks < 50);
    CHECK(checks > 20);
}

// Guards against calls to a target that left or that was already tried for the request.
TEST_CASE("only untried targets that accept calls for the service are chosen") {
    target_table table;
    auto leaving = make_entry("near", "east");
    leaving.accepting = false;
    update_target(table, leaving);
    update_target(table, make_entry("far", "west"));
    CHECK(choose_node(table, start) == "far");
    CHECK(choose_node(table, start, {"far"}).empty());
}

// Guards against a delayed entry that restores an earlier state of a target.
TEST_CASE("an older entry never replaces a newer one") {
    target_table table;
    auto newer = make_entry("near", "east", 200);
    newer.revision = {1, 7};
    newer.accepting = false;
    CHECK(update_target(table, newer));
    auto older = make_entry("near", "east", 100);
    older.revision = {1, 5};
    CHECK_FALSE(update_target(table, older));
    older.revision = {}; // from a peer that has no revision
    CHECK_FALSE(update_target(table, older));
    older.revision = {1, 9};
    newer.revision = {2, 3}; // The store came back from a copy.
    CHECK(update_target(table, newer));
    CHECK_FALSE(update_target(table, older));
    CHECK(table.by_node.at("near").entry.started_ms == 200);
}

// Guards against a target that is avoided forever because its last load report showed it at capacity.
TEST_CASE("a load report loses weight with age") {
    target_table table;
    update_target(table, make_entry("near", "east"));
    auto& it = table.by_node.at("near");
    record_report(it, {10, 10, 10, 1}, start);
    CHECK(expected_load(it, start) == Approx(2.0));
    CHECK(expected_load(it, start + milliseconds{1500}) == Approx(0.0));
    it.in_flight = 5;
    CHECK(expected_load(it, start + milliseconds{1500}) == Approx(0.5));
}
