#include "deployment.h"
#include "httpclient.h"
#include "standinplatform.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace baobabswitch;

namespace {

constexpr auto small_workload = R"({"name": "small", "domains": ["d"], "domain_latency_ms": 0,
  "client_latency_ms": 0, "slow_service": "desk",
  "services": {"desk": {"servers": 3, "slots": 40, "connections": 100}},
  "kinds": {
    "look": {"service": "desk", "importance": 3, "timeout_ms": 3000, "patience_ms": 0, "idempotent": true,
      "service_ms": 30, "share": 50, "children": []},
    "book": {"service": "desk", "importance": 8, "timeout_ms": 3000, "patience_ms": 0, "idempotent": false,
      "service_ms": 200, "share": 50, "children": ["look"]}}})";

/// Call outcomes as seen by the callers.
struct outcome_counts {
    int sent = 0;
    int done = 0;
    int refused = 0; ///< the node was draining or not reached; the call was not run
    std::vector<std::string> unexpected;
};

} // namespace

TEST_CASE("a planned stop of a VM cuts off no request", "[integration]") {
    // Guards against calls that are cut off or left without an answer when a node and its target receive
    // SIGTERM under load (P6, P7).
    const auto file =
        std::filesystem::temp_directory_path() / ("workload-" + std::to_string(getpid()) + ".json");
    std::ofstream{file} << small_workload;
    auto started = deployment::start({program(""), file.string(), "baobabswitch", 1});
    INFO((started ? "" : describe(started.error())));
    REQUIRE(started);
    auto& it = *started.value();
    event_loop loop;
    http_client client{loop, {}};
    outcome_counts count;
    const auto on_result = [&](const http_result& result) {
        if (const auto* response = std::get_if<http_response>(&result)) {
            const auto outcome = header_or_empty(response->headers, "Baobab-Outcome");
            if (outcome == "done" && response->status == 200) {
                ++count.done;
            } else if (response->body.find("\"draining\"") != std::string::npos) {
                ++count.refused;
            } else {
                count.unexpected.push_back(std::to_string(response->status) + " " + response->body);
            }
        } else if (const auto& failure = std::get<http_failure>(result); failure.sent) {
            count.unexpected.push_back("failed: " + failure.detail);
        } else {
            ++count.refused;
        }
    };
    bool sending = true;
    const auto call = [&](const endpoint& node, const std::string& kind, const std::string& key) {
        http_headers headers{{"Baobab-Kind", kind}};
        if (!key.empty()) {
            headers.emplace_back("Baobab-Key", key);
        }
        ++count.sent;
        client.send(node, {"POST", "/v1/call/desk/" + kind, std::move(headers), ""}, std::chrono::seconds{4},
                    on_result);
    };
    // The keys come from a node that keeps running, so that the stop affects only the stopping node's own
    // calls.
    httplib::Client issuer{it.vms()[1].listen.host, it.vms()[1].listen.port};
    const auto keys = nlohmann::json::parse(issuer.Post("/v1/keys?count=1000")->body).at("keys");
    std::size_t next_key = 0;
    loop.schedule_every(milliseconds{10}, [&] {
        if (!sending) {
            return;
        }
        const auto& node = it.vms()[next_key % it.vms().size()].listen;
        call(node, "look", "");
        call(node, "book", keys.at(next_key++));
    });
    loop.schedule(milliseconds{500}, [&] {
        it.signal_node(0, SIGTERM);
        it.signal_target(0, SIGTERM);
    });
    loop.schedule(milliseconds{4000}, [&] { sending = false; });
    loop.schedule(milliseconds{6000}, [&] { loop.stop(); });
    loop.run();
    CHECK(it.wait_for_node(0, 5) == 0);
    INFO((count.unexpected.empty() ? "" : count.unexpected.front()));
    CHECK(count.unexpected.empty());
    CHECK(count.done + count.refused == count.sent);
    CHECK(count.done > count.sent / 2);
    std::filesystem::remove(file);
}
