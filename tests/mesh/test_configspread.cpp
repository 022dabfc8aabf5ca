#include "configspread.h"
#include "meshrig.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

// Guards against a large fleet in which each node keeps an expensive watch, and a small one in which none
// does.
TEST_CASE("about three nodes of a failure domain watch the configuration without delay") {
    for (const std::size_t nodes : {0U, 1U, 3U, 20U, 122U}) {
        constexpr unsigned draws = 10'000;
        unsigned fresh = 0;
        for (unsigned n = 0; n < draws; ++n) {
            fresh += choose_config_freshness(nodes, n / double{draws}) == freshness::current ? 1 : 0;
        }
        const double mean = fresh * static_cast<double>(nodes) / draws;
        CHECK(mean == Approx(std::min<double>(3, static_cast<double>(nodes))).epsilon(0.01));
    }
}

// Guards against a version that only the nodes with an undelayed watch apply in time.
TEST_CASE("a node tells its failure domain about a new configuration") {
    mesh_rig rig{41};
    rig.publish(1);
    for (unsigned n = 0; n < 4; ++n) {
        rig.add_vm("front", n < 3 ? "east" : "west", 10);
    }
    rig.run_for(milliseconds{30});
    for (std::size_t n = 0; n < 4; ++n) {
        rig.announce(n, 1);
    }
    rig.run_for(milliseconds{1200});
    // The store's watches report nothing, as if their data were old.
    const auto document = rig.store.content("config", "main");
    auto next = document;
    next.replace(next.find("00000001"), 8, "00000002");
    auto* node = rig.nodes[0].node.get();
    rig.nodes[0].loop->post([&, node] {
        CHECK(adopt_config(node->state(), next, "store"));
        push_config_to_domain(node->state());
    });
    rig.run_for(milliseconds{300});
    CHECK(rig.config_version_of(1) == 2);
    CHECK(rig.config_version_of(2) == 2);
    // A call shows the version to a node of another failure domain.
    CHECK(rig.config_version_of(3) == 1);
    const auto call = rig.send(3, "GET", "/read/x", "r");
    rig.run_for(milliseconds{300});
    CHECK(call->status == 200);
    rig.send(0, "GET", "/read/x", "s");
    for (int n = 0; n < 20; ++n) {
        rig.send(3, "GET", "/read/x", "t" + std::to_string(n));
    }
    rig.run_for(milliseconds{500});
    CHECK(rig.config_version_of(3) == 2);
}

// Guards against messages of another program that end a node or replace the configuration in force.
TEST_CASE("a malformed configuration from a peer changes nothing") {
    mesh_rig rig{42};
    rig.publish(5);
    rig.add_vm("front", "east", 10);
    rig.run_for(milliseconds{100});
    event_loop loop;
    http_client client{loop, {}};
    for (const auto& body :
         {std::string{}, std::string{"[]"}, std::string(100'000, '['), std::string{R"({"version":7})"},
          std::string{R"({"version":7,"document":"{}"})"}, std::string{R"({"version":-1})"},
          std::string{R"({"version":7,"document":{}})"}}) {
        client.send(rig.settings[0].listen.inbound, {"POST", std::string{peer_config_path}, {}, body},
                    milliseconds{1000}, [&](const http_result& outcome) {
                        CHECK(std::holds_alternative<http_response>(outcome));
                        loop.stop();
                    });
        loop.run();
        CHECK(rig.config_version_of(0) == 5);
    }
}
