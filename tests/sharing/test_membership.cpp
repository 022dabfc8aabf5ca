#include "gossip.h"
#include "peerprobe.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace baobabswitch;
using std::chrono::seconds;

namespace {

member entry(const std::string& node, std::uint64_t incarnation, std::uint64_t version, target_state state) {
    member it;
    it.node = node;
    it.incarnation = incarnation;
    it.version = version;
    it.address = {"127.0.0.1", 7400};
    it.domain = "praha-a";
    it.service = "booking-desk";
    it.state = state;
    return it;
}

const time_point start = time_point{} + std::chrono::hours{1};

} // namespace

// Guards against an older entry overwriting a newer one when they arrive out of order.
TEST_CASE("the entry with the higher incarnation, then version, wins", "[membership]") {
    member_table table;
    CHECK(merge(table, entry("a", 5, 1, target_state::up)));
    CHECK_FALSE(merge(table, entry("a", 4, 9, target_state::down)));
    CHECK_FALSE(merge(table, entry("a", 5, 1, target_state::up)));
    CHECK(merge(table, entry("a", 5, 1, target_state::down)));
    CHECK_FALSE(merge(table, entry("a", 5, 1, target_state::leaving)));
    CHECK(merge(table, entry("a", 6, 1, target_state::up)));
    CHECK(table.at("a").incarnation == 6);
}

// Guards against a live node that stays listed as down at other nodes because it doesn't refute the report.
TEST_CASE("a node that sees itself declared down raises its version", "[membership]") {
    invariant_table invariants;
    auto state = make_gossip_state(entry("a", 5, 3, target_state::up), {}, 1, invariants);
    const auto down = entry("a", 5, 4, target_state::down);
    const nlohmann::json message{{"f", "b"}, {"m", nlohmann::json::array({to_json(down)})}};
    REQUIRE(receive_gossip(state, message.dump(), start));
    CHECK(state.members.at("a").state == target_state::up);
    CHECK(state.members.at("a").version == 5);
    CHECK_FALSE(state.superseded);
    CHECK(receive_gossip(state, "{\"f\":1}", start).error().kind == error_kind::malformed);
    CHECK(receive_gossip(state, "[", start).error().kind == error_kind::malformed);
}

// Guards against a suspended process that resumes and declares other members down for missing answers.
TEST_CASE("a pause of the process clears its suspicions", "[membership]") {
    invariant_table invariants;
    auto state = make_gossip_state(entry("a", 5, 1, target_state::up), {}, 1, invariants);
    const nlohmann::json message{{"f", "b"},
                                 {"m", nlohmann::json::array({to_json(entry("b", 1, 1, target_state::up))})}};
    REQUIRE(receive_gossip(state, message.dump(), start));
    gossip_round(state, start);
    exchange_failed(state, {{"127.0.0.1", 7400}, "b", ""}, start);
    gossip_round(state, start + seconds{60});
    CHECK(state.members.at("b").state == target_state::up);
}

// Guards against calls that are still sent to a paused node because it isn't detected as silent within 2 s,
// and against probing responsive peers without calls.
TEST_CASE("a peer that misses two probes is silent until it answers one", "[peerprobe]") {
    probe_table table;
    record_call_sent(table, "b", start);
    CHECK(due_probes(table, start + milliseconds{299}).empty());
    auto now = start + milliseconds{300};
    while (!is_silent(table, "b")) {
        if (!due_probes(table, now).empty()) {
            record_probe_result(table, "b", false);
        }
        now += milliseconds{100};
    }
    CHECK(now - start + 2 * probe_timeout < seconds{2});
    record_call_ended(table, "b", start);
    now += seconds{1};
    REQUIRE(due_probes(table, now).size() == 1);
    CHECK(due_probes(table, now + seconds{1}).empty());
    CHECK(record_probe_result(table, "b", true));
    CHECK_FALSE(is_silent(table, "b"));
    CHECK(table.peers.empty());
}
