#include "memorystore.h"
#include "node.h"
#include "sharing.h"
#include "sharingservice.h"
#include "targetside.h"

#include <caf/all.hpp>
#include <catch2/catch.hpp>

using namespace baobabswitch;
using std::chrono::seconds;

namespace {

std::string stored_config(std::uint64_t version) {
    const nlohmann::json document{
        {"schema", 1},
        {"kinds", nlohmann::json::object()},
        {"services", {{"desk", {{"slots", version}, {"connections", 5}, {"queue", 5}}}}}};
    return nlohmann::json{{"version", version}, {"digest", document_digest(document)}, {"document", document}}
        .dump();
}

/// Several nodes on one event loop, in two failure domains.
struct sharing_fixture {
    caf::actor_system_config options;
    std::unique_ptr<caf::actor_system> actors;
    event_loop loop;
    invariant_table invariants;
    node_metrics metrics{invariants};
    std::shared_ptr<memory_store> store = std::make_shared<memory_store>();
    std::vector<std::unique_ptr<node>> nodes;

    sharing_fixture() {
        options.set("scheduler.policy", caf::atom("sharing"));
        options.set("scheduler.max-threads", 1);
        actors = std::make_unique<caf::actor_system>(options);
    }

    static std::string address(int n) {
        return "127.41.7." + std::to_string(n) + ":7400";
    }

    void add(int n, const std::string& secret, std::shared_ptr<object_store> platform) {
        auto settings =
            parse_settings("node = \"n" + std::to_string(n) + "\"\ndomain = \"d" + std::to_string(n % 2) +
                               "\"\nlisten = \"" + address(n) + "\"\nadmin = \"127.0.0.1:1\"\nseeds = [\"" +
                               address(1) + "\"]\n[security]\nactive = \"k\"\n[[security.keys]]\n" +
                               "id = \"k\"\nsecret = \"" + secret + "\"\n",
                           "test");
        auto created = node::create(loop, settings.value(), invariants, metrics);
        REQUIRE(created);
        nodes.push_back(std::move(created.value()));
        REQUIRE(nodes.back()->start_sharing(*actors, std::move(platform)));
    }

    /// Runs each step's action and waits for its condition, at most step_timeout each; returns the number of
    /// completed steps.
    std::size_t run_steps(const std::vector<std::pair<std::function<void()>, std::function<bool()>>>& steps,
                          duration step_timeout) {
        std::size_t completed_steps = 0;
        auto end = clock::now() + step_timeout;
        std::function<void()> poll = [&] {
            if (clock::now() > end) {
                loop.stop();
                return;
            }
            if (steps.at(completed_steps).second()) {
                if (++completed_steps == steps.size()) {
                    loop.stop();
                    return;
                }
                end = clock::now() + step_timeout;
                steps.at(completed_steps).first();
            }
            loop.schedule(milliseconds{20}, poll);
        };
        steps.front().first();
        loop.schedule(milliseconds{1}, poll);
        loop.run();
        return completed_steps;
    }
};

} // namespace

// Guards against a stored configuration version that doesn't reach nodes without a platform connection,
// against lost pushes, and against accepting messages from a node with a different key.
TEST_CASE("nodes share members, a configuration and a leaving state", "[sharingservice]") {
    sharing_fixture it;
    const std::string secret(64, 'a');
    it.add(1, secret, it.store);
    it.add(2, secret, nullptr);
    it.add(3, secret, nullptr);
    it.add(4, std::string(64, 'b'), nullptr);
    const auto each = [&](const auto& condition) {
        return std::all_of(it.nodes.begin(), it.nodes.begin() + 3,
                           [&](const auto& one) { return condition(one->state()); });
    };
    auto& leaving = it.nodes.at(2)->state();
    const auto steps =
        it.run_steps({{[] {},
                       [&] {
                           return each([](const auto& one) { return one.members.size() == 3; });
                       }},
                      {[&] { REQUIRE(it.store->put(config_object, stored_config(1), 0)); },
                       [&] {
                           return each([](const auto& one) { return one.config->version == 1; });
                       }},
                      {[&] {
                           leaving.target.service = "desk";
                           leaving.target.state = target_state::leaving;
                           leaving.target.last_announced = clock::now();
                           update_own_entry(leaving);
                       },
                       [&] {
                           return each([](const auto& one) {
                               return one.members.at("n3").state == target_state::leaving;
                           });
                       }},
                      {[] {},
                       [&] {
                           return bool{it.store->get("status/d1")};
                       }}},
                     seconds{5});
    CHECK(steps == 4);
    CHECK(it.nodes.at(3)->state().members.size() == 1);
    CHECK(violations(it.invariants) == 0);
}
