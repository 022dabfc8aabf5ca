#include "platformclient.h"
#include "standinplatform.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace baobabswitch;

namespace {

/// Short, so that calls without an answer fail quickly.
constexpr platform_client_options short_timeouts{milliseconds{300}, milliseconds{300}};

} // namespace

// Guards against a client and a platform that disagree about versions or the conditions of writes.
TEST_CASE("objects are written conditionally, listed and removed", "[platform]") {
    const platform_process platform;
    const auto store = make_platform_client(platform.address());
    CHECK(store->get("config/document").error().kind == error_kind::not_found);
    const auto first = store->put("config/document", "one \"\u010d\"\n", 0);
    REQUIRE(first);
    CHECK(store->put("config/document", "two", 0).error().kind == error_kind::conflict);
    const auto second = store->put("config/document", "two", first.value());
    REQUIRE(second);
    CHECK(second.value() > first.value());
    CHECK(store->get("config/document").value().value == "two");
    REQUIRE(store->put("audit/1", "", 0));
    const auto listed = store->list("config/");
    REQUIRE(listed);
    REQUIRE(listed.value().objects.size() == 1);
    CHECK(listed.value().objects.front().version == second.value());
    CHECK(store->remove("config/document", first.value()).error().kind == error_kind::conflict);
    CHECK(store->remove("config/document", second.value()));
    CHECK(store->get("config/document").error().kind == error_kind::not_found);
}

// Guards against values at the limit that are refused, and values over it that are truncated.
TEST_CASE("values are limited to 1 MB", "[platform]") {
    const platform_process platform;
    const auto store = make_platform_client(platform.address());
    CHECK(store->put("a", std::string(max_object_bytes, 'x'), 0));
    CHECK(store->get("a").value().value.size() == max_object_bytes);
    CHECK(store->put("b", std::string(max_object_bytes + 1, 'x'), 0).error().kind == error_kind::too_large);
}

// Guards against a watch that misses a change, blocks other calls or is lost at its deadline.
TEST_CASE("a watch reports a change and ends without one", "[platform]") {
    const platform_process platform;
    const auto store = make_platform_client(platform.address());
    const auto revision = store->list("config/").value().revision;
    CHECK(store->watch("config/", revision, milliseconds{50}).value().objects.empty());
    result<object_list> seen = error{};
    std::thread waiting{[&] {
        seen = store->watch("config/", revision, milliseconds{5000});
    }};
    while (platform.counters()["waiting_watches"] != 1) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    REQUIRE(store->put("other", "", 0));
    const auto written = store->put("config/document", "one", 0);
    waiting.join();
    REQUIRE(written);
    REQUIRE(seen);
    REQUIRE(seen.value().objects.size() == 1);
    CHECK(seen.value().objects.front().version == written.value());
}

// Guards against a refused write that is reported as unknown, and an unanswered write that is reported as not
// done.
TEST_CASE("outages make calls unavailable, and unanswered writes have unknown outcomes", "[platform]") {
    const platform_process platform;
    const auto store = make_platform_client(platform.address(), short_timeouts);
    REQUIRE(platform.control({{"outage", "refuse"}}) == 200);
    CHECK(store->get("a").error().kind == error_kind::store_unavailable);
    CHECK(store->put("a", "1", 0).error().kind == error_kind::store_unavailable);
    REQUIRE(platform.control({{"outage", "silent"}}) == 200);
    CHECK(store->get("a").error().kind == error_kind::store_unavailable);
    CHECK(store->put("a", "1", 0).error().kind == error_kind::outcome_unknown);
    REQUIRE(platform.control({{"outage", "none"}, {"slow_ms", 0}, {"latency_ms", 1000}}) == 200);
    CHECK(store->put("a", "2", 0).error().kind == error_kind::outcome_unknown);
    REQUIRE(platform.control({{"outage", "refuse"}, {"latency_ms", 1}, {"for_ms", 100}}) == 200);
    std::this_thread::sleep_for(milliseconds{600});
    CHECK(store->get("a").value().value == "2"); // the slow write took effect after its client gave up
    const auto unreachable = make_platform_client({"127.0.0.1", free_port()}, short_timeouts);
    CHECK(unreachable->put("a", "1", 0).error().kind == error_kind::store_unavailable);
}

// Guards against a lost answer that is reported as a failure, although the write took effect.
TEST_CASE("a write whose answer is lost takes effect and has an unknown outcome", "[platform]") {
    const platform_process platform;
    const auto store = make_platform_client(platform.address(), short_timeouts);
    REQUIRE(platform.control({{"lost_answer_percent", 100}}) == 200);
    CHECK(store->put("a", "1", 0).error().kind == error_kind::outcome_unknown);
    CHECK(store->get("a").value().value == "1");
    CHECK(platform.counters()["lost"]["answers"] == 1);
}

// Guards against a stand-in that does not enforce the platform's rate limits.
TEST_CASE("writes above the rate limit are refused", "[platform]") {
    const platform_process platform;
    const auto store = make_platform_client(platform.address());
    REQUIRE(platform.control({{"writes_per_second", 5}}) == 200);
    int refused = 0;
    for (int n = 0; n < 20; ++n) {
        const auto written = store->put("n" + std::to_string(n), "", 0);
        refused += !written && written.error().kind == error_kind::store_unavailable ? 1 : 0;
    }
    CHECK(refused >= 10);
    CHECK(platform.counters()["rejected"]["rate"] == refused);
    CHECK(platform.control({{"writes", 5}}) == 400);
}
