#include "configsync.h"
#include "memorystore.h"
#include "sharing.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

versioned_document document(std::uint64_t version) {
    nlohmann::json services;
    for (std::uint64_t n = 0; n < 20; ++n) {
        services["service-" + std::to_string(n)] = {
            {"slots", 100 + version}, {"connections", 5}, {"queue", 5}};
        if (n > 0) {
            services["service-" + std::to_string(n)]["slots"] = 7;
        }
    }
    nlohmann::json content{{"schema", 1}, {"kinds", nlohmann::json::object()}, {"services", services}};
    auto digest = document_digest(content);
    return {version, std::move(digest), std::move(content)};
}

const time_point now = time_point{} + std::chrono::hours{1};

} // namespace

// Guards against adopting an older configuration, or one whose content doesn't match its digest.
TEST_CASE("only a higher version with a matching digest is adopted", "[configsync]") {
    invariant_table invariants;
    config_sync sync;
    sync.invariants = &invariants;
    CHECK(accept_document(sync, document(4)).value());
    CHECK_FALSE(accept_document(sync, document(3)).value());
    CHECK_FALSE(accept_document(sync, document(4)).value());
    auto forged = document(5);
    forged.digest = document(6).digest;
    CHECK(accept_document(sync, forged).error().kind == error_kind::bad_document);
    CHECK(sync.in_force->version == 4);
}

// Guards against patches that produce a document other than the advertised one, and against sending the whole
// document when patches suffice.
TEST_CASE("patches update a retained version to the newest", "[configsync]") {
    invariant_table invariants;
    config_sync ahead;
    ahead.invariants = &invariants;
    for (std::uint64_t version = 1; version <= 40; ++version) {
        REQUIRE(accept_document(ahead, document(version)).value());
    }
    config_sync behind;
    behind.invariants = &invariants;
    REQUIRE(accept_document(behind, document(38)).value());
    const auto patched = serve_config_fetch(ahead, 38).value();
    CHECK(patched.size() < document(40).document.dump().size() / 2);
    CHECK(handle_config_response(behind, patched, now).value());
    CHECK(behind.current->digest == ahead.current->digest);
    // The 32 retained patches don't reach back to version 2.
    CHECK(serve_config_fetch(ahead, 2).value().find("\"doc\"") != std::string::npos);
    CHECK(serve_config_fetch(ahead, std::nullopt).value().find("\"doc\"") != std::string::npos);
}

// Guards against a node that requests the same non-matching patches forever.
TEST_CASE("after a mismatch the whole document is fetched", "[configsync]") {
    invariant_table invariants;
    config_sync sync;
    sync.invariants = &invariants;
    REQUIRE(accept_document(sync, document(1)).value());
    const config_advert advert{{"127.0.0.1", 1}, {2, document(2).digest}};
    note_config_announcement(sync, advert);
    CHECK(next_config_fetch(sync, now)->path == "/n/config?have=1");
    CHECK_FALSE(next_config_fetch(sync, now));
    const nlohmann::json wrong{{"v", 2}, {"g", document(2).digest}, {"b", 1}, {"p", nlohmann::json::array()}};
    CHECK_FALSE(handle_config_response(sync, wrong.dump(), now));
    const auto later = now + std::chrono::seconds{1};
    note_config_announcement(sync, advert);
    CHECK(next_config_fetch(sync, later)->path == "/n/config");
}

// Guards against status writes that keep failing after a conflict with another writer or a lost answer.
TEST_CASE("a failed status write returns the expected version for the next one", "[configsync]") {
    memory_store store;
    REQUIRE(store.put("status/praha-a", "{}", 0));
    const auto lost = write_status(store, {"status/praha-a", "{}", 0});
    CHECK_FALSE(lost.written);
    CHECK(write_status(store, {"status/praha-a", "{}", lost.version}).written);
}

// Guards against an exception, or a configuration without content, when the stored object is not JSON or
// lacks fields.
TEST_CASE("a malformed stored object is rejected", "[configsync]") {
    CHECK(parse_stored_config("[").error().kind == error_kind::bad_document);
    CHECK(parse_stored_config("{\"version\":1}").error().kind == error_kind::bad_document);
}
