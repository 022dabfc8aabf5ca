#include "memorystore.h"
#include "rollout.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::system_clock;

const system_clock::time_point now{seconds{1'800'000'000}};

std::string status(std::string_view domain, std::uint64_t least, std::chrono::seconds age) {
    const auto time = std::chrono::duration_cast<milliseconds>((now - age).time_since_epoch()).count();
    return nlohmann::json{
        {"domain", domain},
        {"writer", "n1"},
        {"members", {{{"node", "n1"}, {"state", "up"}}, {{"node", "n2"}, {"state", "leaving"}}}},
        {"least_version", least},
        {"greatest_version", 3},
        {"time", static_cast<std::uint64_t>(time)}}
        .dump();
}

} // namespace

// Guards against a version that is shown in force in a domain that has an older one, or is cut off.
TEST_CASE("each domain's phase follows from its status", "[rollout]") {
    CHECK(evaluate_domain_status(status("a", 3, seconds{2}), 3, now).value().phase ==
          rollout_phase::in_force);
    CHECK(evaluate_domain_status(status("a", 4, seconds{2}), 3, now).value().phase ==
          rollout_phase::in_force);
    CHECK(evaluate_domain_status(status("a", 2, seconds{2}), 3, now).value().phase == rollout_phase::pending);
    CHECK(evaluate_domain_status(status("a", 0, seconds{2}), 0, now).value().phase == rollout_phase::pending);
    const auto gone = evaluate_domain_status(status("a", 3, seconds{60}), 3, now).value();
    CHECK(gone.phase == rollout_phase::cut_off);
    CHECK(gone.last_status == utc_time(now - seconds{60}));
    CHECK(gone.targets.at("leaving") == 1);
    CHECK(evaluate_domain_status("{}", 3, now).error().kind == error_kind::malformed);
    CHECK(evaluate_domain_status("[", 3, now).error().kind == error_kind::malformed);
}

// Guards against an apply that waits forever for a domain that is cut off.
TEST_CASE("a domain that is cut off is not waited for", "[rollout]") {
    memory_store store;
    REQUIRE(store.put("status/a", status("a", 3, seconds{1}), 0));
    REQUIRE(store.put("status/b", status("b", 1, seconds{60}), 0));
    const auto state = read_rollout(store, now).value();
    REQUIRE(state.domains.size() == 2);
    CHECK(in_force_where_reachable(state, 3));
    CHECK_FALSE(in_force_where_reachable(state, 4));
    const auto shown = to_json(state);
    CHECK(shown["domains"][1]["cut_off_since"] == utc_time(now - seconds{60}));
    CHECK(shown["accepted"].is_null());
}
