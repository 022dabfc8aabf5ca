#include "calls/callrig.h"

#include "memorystore.h"
#include "promisedcalls.h"

#include <caf/all.hpp>

using namespace callrig;

namespace {

constexpr auto patient_document = R"({"schema": 1,
  "services": {"desk": {"slots": 2, "connections": 20, "queue": 4}},
  "kinds": {
    "look": {"service": "desk", "importance": 3, "timeout_ms": 2000, "patience_ms": 600000, "idempotent": true},
    "book": {"service": "desk", "importance": 8, "timeout_ms": 2000, "patience_ms": 600000, "idempotent": false}},
  "policy": {"retry_budget": 2}})";

/// Nodes whose promises are held by one store in memory.
struct promise_rig : test_cluster {
    explicit promise_rig(unsigned n) : test_cluster(n), store(std::make_shared<memory_store>()) {
        for (auto& it : nodes) {
            auto& state = it->state();
            state.config = std::make_shared<configuration>(parse_configuration(patient_document).value());
            promise_service_options options;
            options.domain = state.settings.domain;
            options.self = state.settings.node_id + "." + std::to_string(state.incarnation);
            options.flush_period = milliseconds{10};
            services.push_back(std::make_unique<promise_service>(
                actors, loop, store, options, invariants,
                [&state](promise_item item) { run_promised(state, std::move(item)); }));
            state.promises = services.back().get();
        }
    }

    caf::actor_system_config config;
    caf::actor_system actors{config};
    std::shared_ptr<memory_store> store;
    std::vector<std::unique_ptr<promise_service>> services;
};

} // namespace

TEST_CASE("a call with patience and without a target is promised and runs later, once", "[promises]") {
    // Guards against a promise that is never kept, and against one that runs twice.
    promise_rig it{2};
    const auto key = it.key(1);
    const auto promised = it.call(2, book(key, "x"));
    CHECK(promised.status == 202);
    CHECK(outcome(promised) == "promised");
    CHECK(header_or_empty(promised.headers, "Baobab-Key") == key);
    CHECK(outcome(it.call(2, book(key, "x"))) == "promised");
    it.add_target(2, [](const http_request& request, const auto& exchange) {
        exchange->respond({200, {}, "booked " + request.body});
    });
    it.until([&] { return it.total_runs() > 0; });
    it.until([&] { return outcome(it.call(2, {"GET", "/v1/outcomes/" + key, {}, ""})) == "done"; });
    CHECK(it.call(2, book(key, "x")).body == "booked x");
    it.run_for(milliseconds{300});
    CHECK(it.total_runs() == 1);
    CHECK(it.violation.empty());
}

TEST_CASE("a call with patience and without a key gets a key with its promise", "[promises]") {
    // Guards against a promise whose outcome the caller can't look up.
    promise_rig it{1};
    const auto promised = it.call(1, look());
    CHECK(promised.status == 202);
    const std::string key{header_or_empty(promised.headers, "Baobab-Key")};
    REQUIRE_FALSE(key.empty());
    it.add_target(1, [](const http_request&, const auto& exchange) { exchange->respond({200, {}, "seen"}); });
    it.until([&] { return outcome(it.call(1, {"GET", "/v1/outcomes/" + key, {}, ""})) == "done"; });
    CHECK(it.violation.empty());
}

TEST_CASE("nothing is promised while the platform is unavailable", "[promises]") {
    // Guards against a caller that is told "promised" although the platform does not hold the call.
    promise_rig it{1};
    it.store->on_call = [](auto, auto) {
        return store_fault::unavailable;
    };
    const auto refused = it.call(1, book(it.key(1)));
    CHECK(outcome(refused) == "not-run");
    CHECK(refused.status == 503);
    CHECK(it.violation.empty());
}

TEST_CASE("the outcome of a promise is found after its owner is gone", "[promises]") {
    // Guards against promises that are lost when the node that made them fails.
    promise_rig it{2};
    const auto key = it.key(1);
    CHECK(outcome(it.call(1, book(key))) == "promised");
    member gone = it.at(1).members.at("n1");
    gone.incarnation += 1;
    gone.state = target_state::none;
    it.at(2).members["n1"] = gone;
    CHECK(outcome(it.call(2, {"GET", "/v1/outcomes/" + key, {}, ""})) == "promised");
    // n1 has the least id and looks for orphaned batches; once it is down, n2 does.
    it.at(1).promises = nullptr;
    it.at(2).members["n1"].state = target_state::down;
    it.at(2).next_adoption = {};
    it.add_target(2, [](const http_request&, const auto& exchange) {
        exchange->respond({200, {}, "booked"});
    });
    it.at(2).members["n1"].state = target_state::down;
    it.until([&] { return outcome(it.call(2, {"GET", "/v1/outcomes/" + key, {}, ""})) == "done"; });
    CHECK(it.total_runs() == 1);
    CHECK(it.violation.empty());
}
