#include "configstore.h"
#include "memorystore.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;
using Catch::Contains;

namespace {

config_change make_change(std::uint64_t base, const std::string& write_id, int queue = 1) {
    return {
        {{"schema", 1},
         {"services", {{"s", {{"slots", 1}, {"connections", 1}, {"queue", queue}}}}},
         {"kinds", {{"k", {{"service", "s"}, {"importance", 1}, {"timeout_ms", 5}, {"idempotent", true}}}}}},
        "ana",
        "more room",
        "2026-12-04T08:00:00Z",
        write_id,
        base};
}

} // namespace

// Guards against a conflict error without the author and time of the other change.
TEST_CASE("a conflict names who was first and when", "[config]") {
    memory_store store;
    auto first = make_change(0, "w1");
    REQUIRE(apply_change(store, first));
    auto second = make_change(0, "w2");
    const auto refused = apply_change(store, second);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == error_kind::conflict);
    CHECK_THAT(refused.error().message, Contains("ana") && Contains("version 1") &&
                                            Contains("2026-12-04T08:00:00Z") && Contains("more room"));
    CHECK(read_config(store).value().change.write_id == "w1");
}

// Guards against a change that is written a second time when the operator repeats it after it was accepted.
TEST_CASE("repeating a change returns its first result", "[config]") {
    memory_store store;
    auto change = make_change(0, "w1");
    REQUIRE(apply_change(store, change));
    CHECK(apply_change(store, change).value().version == 1);
    CHECK(read_audit(store, 10).value().size() == 1);
}

// Guards against a change that is reported as "nothing was changed" when its answer was lost and the platform
// is then unavailable.
TEST_CASE("a lost answer stays unknown until the platform can be read", "[config]") {
    memory_store store;
    bool lost = false;
    store.on_call = [&](std::string_view operation, std::string_view) {
        if (operation == "put" && !lost) {
            lost = true;
            return store_fault::answer_lost;
        }
        return lost ? store_fault::unavailable : store_fault::none;
    };
    auto change = make_change(0, "w1");
    CHECK(apply_change(store, change).error().kind == error_kind::outcome_unknown);
    CHECK(apply_change(store, change).error().kind == error_kind::outcome_unknown);
    store.on_call = nullptr;
    CHECK(apply_change(store, change).value().version == 1);
}

// Guards against a new version that is not above the audit trail, or not above the floor that the change
// names, after the configuration object was removed from the platform.
TEST_CASE("a version is above the audit trail and above the version in force", "[config]") {
    memory_store store;
    for (std::uint64_t n = 0; n <= max_recent_entries; ++n) {
        auto change = make_change(n, "w" + std::to_string(n));
        REQUIRE(apply_change(store, change));
    }
    const auto object = store.get(config_object_name).value();
    REQUIRE(store.remove(config_object_name, object.version));
    auto change = make_change(0, "after");
    CHECK(apply_change(store, change).value().version == audit_block_entries + 1);
    auto above = make_change(audit_block_entries + 1, "above");
    above.floor_version = 500;
    CHECK(apply_change(store, above).value().version == 501);
}

// Guards against an audit trail that loses its older part, or an object that grows without bound.
TEST_CASE("older audit entries move to audit objects", "[config]") {
    memory_store store;
    constexpr std::uint64_t changes = 5 * audit_block_entries;
    for (std::uint64_t n = 0; n < changes; ++n) {
        auto change = make_change(n, "w" + std::to_string(n));
        REQUIRE(apply_change(store, change));
    }
    CHECK(read_config(store).value().recent.size() <= max_recent_entries);
    CHECK(store.list(audit_prefix).value().objects.size() == 3);
    const auto trail = read_audit(store, SIZE_MAX);
    REQUIRE(trail.value().size() == changes);
    CHECK(trail.value().front().version == changes);
    CHECK(trail.value().back().version == 1);
    CHECK(read_audit(store, 5).value().size() == 5);
}

// Guards against a bad document, author, reason or write identity that is stored in the platform.
TEST_CASE("a change without a valid document, author or reason is refused", "[config]") {
    memory_store store;
    auto change = make_change(0, "w1");
    change.author = "";
    CHECK_THAT(apply_change(store, change).error().message, Contains("author"));
    change = make_change(0, "w1");
    change.reason = std::string(max_reason_bytes + 1, 'x');
    CHECK_THAT(apply_change(store, change).error().message, Contains("reason"));
    change = make_change(0, "");
    CHECK_THAT(apply_change(store, change).error().message, Contains("write identity"));
    change = make_change(0, "w1", -1);
    CHECK(apply_change(store, change).error().kind == error_kind::bad_document);
    CHECK(store.get(config_object_name).error().kind == error_kind::not_found);
}

// Guards against use of a configuration object whose document was altered without its digest, or that lacks
// required members.
TEST_CASE("a damaged configuration object is refused", "[config]") {
    memory_store store;
    auto change = make_change(0, "w1");
    REQUIRE(apply_change(store, change));
    auto object = nlohmann::json::parse(store.get(config_object_name).value().value);
    object["document"]["policy"] = {{"retry_budget", 100}};
    CHECK_THAT(parse_stored_config(object.dump(), 2).error().message, Contains("damaged"));
    CHECK_FALSE(parse_stored_config("[]", 2));
    CHECK_FALSE(parse_stored_config("{\"document\":{},\"recent\":[],\"version\":1,\"write_id\":\"w\"}", 2));
}
