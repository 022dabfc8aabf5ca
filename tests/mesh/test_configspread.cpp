#include "configspread.h"
#include "meshrig.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace baobabswitch;

namespace {

/// A failure domain in which every node hears from each other one. Element n says whether node n watches the
/// configuration without delay.
using watching_nodes = std::vector<bool>;

std::string node_name(std::size_t n) {
    return "node-" + std::to_string(1000 + n);
}

mesh_settings node_settings(std::size_t n) {
    mesh_settings it;
    it.node = node_name(n);
    it.domain = "east";
    return it;
}

/// Lets each living node decide once more, in turn, by what the others said at `now`.
void decide_all(watching_nodes& nodes, std::size_t first_living, boot_time_point now) {
    for (std::size_t own = first_living; own < nodes.size(); ++own) {
        target_table table;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            auto& view = table.by_node[node_name(n)];
            view.entry.domain = "east";
            const auto heard_at = n < first_living ? now - std::chrono::seconds{4} : now;
            record_heard(view.presence, nodes[n], heard_at);
        }
        nodes[own] = is_config_watcher(table, node_settings(own), now);
    }
}

std::ptrdiff_t count_watching(const watching_nodes& nodes, std::size_t first_living) {
    return std::count(nodes.begin() + static_cast<std::ptrdiff_t>(first_living), nodes.end(), true);
}

} // namespace

// Guards against a large fleet in which each node keeps an expensive watch, and a domain in which none does,
// also after all nodes that kept one were lost together.
TEST_CASE("three nodes of a failure domain watch the configuration without delay") {
    const auto now = boot_clock::now();
    for (const std::size_t size : {1U, 3U, 4U, 20U, 122U}) {
        watching_nodes nodes(size, true);
        decide_all(nodes, 0, now);
        CHECK(count_watching(nodes, 0) == static_cast<std::ptrdiff_t>(std::min<std::size_t>(3, size)));
        const std::size_t lost = std::min<std::size_t>(3, size - 1);
        decide_all(nodes, lost, now);
        CHECK(count_watching(nodes, lost) ==
              static_cast<std::ptrdiff_t>(std::min<std::size_t>(3, size - lost)));
    }
}

// Guards against nodes that rely on others without having heard from them.
TEST_CASE("a node that hears from no other watches the configuration without delay") {
    target_table table;
    for (std::size_t n = 0; n < 50; ++n) {
        table.by_node[node_name(n)].entry.domain = "east";
    }
    CHECK(is_config_watcher(table, node_settings(49), boot_clock::now()));
}

// Guards against a domain in which no node watches the configuration without delay, because the entries of
// VMs that were lost for good count as nodes that may do so (docs/incidents/lost-vms-delay-configuration.md).
TEST_CASE("a new configuration is in force in time though the entries of lost VMs remain") {
    mesh_rig rig{45};
    rig.publish(1);
    for (unsigned n = 0; n < 300; ++n) {
        rig.add_lost_vm("front", "east", n);
    }
    for (unsigned n = 0; n < 3; ++n) {
        rig.add_vm("front", "east", 10);
        rig.announce(n, 1);
    }
    rig.run_for(milliseconds{1500});
    rig.store.set_stale_watches_lag(true);
    rig.publish(2);
    rig.run_for(milliseconds{2000});
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(rig.config_version_of(n) == 2);
    }
}

// Guards against a domain without an undelayed watch after the nodes that kept one are lost, until the
// delayed watches of the others end.
TEST_CASE("nodes watch the configuration without delay once they no longer hear from those that did") {
    mesh_rig rig{46};
    rig.publish(1);
    for (unsigned n = 0; n < 5; ++n) {
        rig.add_vm("front", "east", 10);
        rig.announce(n, 1);
    }
    unsigned sent = 0;
    const auto call_for = [&](int rounds, std::size_t first) {
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t n = first; n < 5; ++n) {
                for (int burst = 0; burst < 6; ++burst) {
                    rig.send(n, "GET", "/read/x", "r" + std::to_string(++sent));
                }
            }
            rig.run_for(milliseconds{100});
        }
    };
    call_for(10, 0);
    rig.publish(2); // Ends the first watches, so that each node chooses by what it has heard.
    call_for(20, 0);
    rig.store.set_stale_watches_lag(true);
    const auto waiting = [&](freshness wanted) {
        const std::lock_guard lock{rig.store.mutex};
        return std::count_if(rig.store.watches.begin(), rig.store.watches.end(), [&](const auto& it) {
            return it.kind == "config" && !*it.done && it.wanted == wanted;
        });
    };
    CHECK(waiting(freshness::current) == 3);
    for (std::size_t n = 0; n < 3; ++n) {
        rig.kill_node(n);
    }
    call_for(45, 3);
    rig.publish(3);
    rig.run_for(milliseconds{500});
    CHECK(rig.config_version_of(3) == 3);
    CHECK(rig.config_version_of(4) == 3);
}

// Guards against requests that fail on lost VMs (docs/incidents/lost-vms-delay-configuration.md), and against
// a VM that stays unused after its node is back.
TEST_CASE("requests keep away from lost VMs and return to one that is back") {
    mesh_rig rig{47};
    rig.publish(1);
    rig.add_vm("back", "east", 10);
    rig.add_vm("front", "east", 10);
    rig.add_vm("front", "east", 10);
    for (unsigned n = 0; n < 30; ++n) {
        rig.add_lost_vm("front", "east", n);
    }
    const auto announce_all = [&](std::uint64_t sequence) {
        for (std::size_t n = 0; n < 3; ++n) {
            rig.announce(n, sequence);
        }
        rig.run_for(milliseconds{1000});
    };
    announce_all(1);
    unsigned sent = 0;
    const auto failures_of = [&](int calls) {
        std::vector<std::shared_ptr<caller_result>> results;
        for (int n = 0; n < calls; ++n) {
            results.push_back(rig.send(0, "GET", "/read/x", "r" + std::to_string(++sent)));
            rig.run_for(milliseconds{20});
        }
        rig.run_for(milliseconds{500});
        return std::count_if(results.begin(), results.end(),
                             [](const auto& it) { return it->status != 200; });
    };
    CHECK(failures_of(40) <= 8); // A request tries four targets, and each of the 30 lost VMs fails once.
    CHECK(failures_of(150) == 0);
    rig.kill_node(2);
    failures_of(5);
    CHECK(failures_of(20) == 0);
    const auto runs_before = rig.targets[2]->runs.size();
    rig.start_node(2, false);
    announce_all(2);
    announce_all(3);
    CHECK(failures_of(40) == 0);
    CHECK(rig.targets[2]->runs.size() > runs_before);
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

// Guards against nodes that rely on others to watch the configuration for longer than a version may take to
// be in force, after those were lost together and nobody calls them
// (docs/incidents/killed-watchers-delay-configuration.md).
TEST_CASE("a version that is written as the nodes with an undelayed watch are lost is in force in time") {
    mesh_rig rig{57};
    rig.publish(1);
    for (unsigned n = 0; n < 7; ++n) {
        rig.add_vm(n < 3 ? "front" : "back", "east", 10);
        rig.announce(n, 1);
    }
    unsigned sent = 0;
    const auto call_for = [&](int rounds, std::size_t first) {
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t n = first; n < 7; ++n) {
                for (int burst = 0; burst < 6; ++burst) {
                    rig.send(n, "GET", "/back/x", "r" + std::to_string(++sent));
                }
            }
            rig.run_for(milliseconds{100});
        }
    };
    call_for(10, 0);
    rig.publish(2); // Ends the first watches, so that each node chooses by what it has heard.
    call_for(20, 0);
    rig.store.set_stale_watches_lag(true);
    for (std::size_t n = 0; n < 3; ++n) {
        rig.kill_node(n);
    }
    rig.publish(3);
    const auto written = boot_clock::now();
    while (boot_clock::now() - written < rig.settings[3].config_apply_time) {
        call_for(1, 3);
    }
    for (std::size_t n = 3; n < 7; ++n) {
        CHECK(rig.config_version_of(n) == 3);
    }
}
