#include "explainlogs.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace baobabswitch;
using Catch::Contains;

namespace {

std::vector<nlohmann::json> lines_of(const std::string& log) {
    std::istringstream in{log};
    std::vector<nlohmann::json> lines;
    read_log(in, lines);
    return lines;
}

} // namespace

// Guards against an explanation that does not name the overloaded service behind a refusal.
TEST_CASE("a refusal under overload is explained by the tightest service") {
    const auto lines = lines_of(
        R"(  4.57 n1 {"event":"request-refused","level":2.09,"node":"n1","position":2.17,"request":"r1","tightest":"permits","time_ms":100}
not json
{"after_ms":0.3,"event":"request-failed","node":"n1","reason":"overload","request":"r1","status":503,"time_ms":101,"tried":[]}
{"event":"request-refused","level":1,"node":"n1","position":2,"request":"r12","tightest":"other","time_ms":102})");
    const auto it = explain_request(lines, "r1");
    REQUIRE(it);
    CHECK(it.value().lines.size() == 2);
    CHECK_THAT(it.value().cause, Contains("overload") && Contains("the tightest is permits"));
}

// Guards against an explanation of an unknown outcome that omits the node failure behind it.
TEST_CASE("a broken connection to a node is explained by the events at that node") {
    const auto lines = lines_of(
        R"({"event":"started","node":"n2","time_ms":9000}
{"event":"request-failed","node":"n1","reason":"hop-cut","request":"r1","status":502,"time_ms":8500,"tried":["n2"]}
{"event":"started","node":"n3","time_ms":8400}
{"event":"target-leaving","node":"n2","time_ms":1000})");
    const auto it = explain_request(lines, "r1");
    REQUIRE(it);
    CHECK_THAT(it.value().cause, Contains("hop-cut") && Contains("n2"));
    REQUIRE(it.value().context.size() == 1);
    CHECK(it.value().context[0]["event"] == "started");
    CHECK(explanation_table(it.value()).rows.size() == 3);
}

// Guards against an explanation that omits nested calls or includes other requests.
TEST_CASE("the explanation of a request includes its nested calls") {
    const auto lines = lines_of(
        R"({"event":"run-refused","node":"n3","reason":"target-leaving","request":"r1.7","time_ms":3}
{"event":"target-leaving","node":"n3","time_ms":2}
{"event":"run-refused","node":"n3","reason":"no-slot","request":"r17","time_ms":3})");
    const auto it = explain_request(lines, "r1");
    REQUIRE(it);
    CHECK(it.value().lines.size() == 1);
    CHECK_THAT(it.value().cause, Contains("target-leaving"));
    CHECK(it.value().context.size() == 1);
    const auto unknown = explain_request(lines, "r2");
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().kind == error_kind::not_found);
}
