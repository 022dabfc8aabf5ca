#include "files.h"
#include "httpclient.h"
#include "platformclient.h"
#include "standinplatform.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

// Guards against a stand-in platform that needs a thread for each waiting watch, or wakes only some of them.
TEST_CASE("thousands of waiting watches cost no threads and all are woken", "[platform]") {
    constexpr int watches = 3000;
    const platform_process platform;
    REQUIRE(platform.control({{"reads_per_second", 100'000}}) == 200);
    event_loop loop;
    http_client_options options;
    options.max_connections_per_endpoint = watches;
    options.max_connecting_per_endpoint = 64;
    http_client client{loop, options};
    int woken = 0;
    for (int n = 0; n < watches; ++n) {
        client.send(platform.address(), {"GET", "/v1/watch?prefix=config/&after=0&wait-ms=60000", {}, ""},
                    std::chrono::seconds{60}, [&](http_result outcome) {
                        const auto* answer = std::get_if<http_response>(&outcome);
                        woken +=
                            answer != nullptr && answer->body.find("config/document") != std::string::npos;
                        if (woken == watches) {
                            loop.stop();
                        }
                    });
    }
    std::string threads;
    std::function<void()> poll = [&] {
        if (platform.counters()["waiting_watches"] != watches) {
            loop.schedule(milliseconds{100}, poll);
            return;
        }
        threads = read_file("/proc/" + std::to_string(platform.process()) + "/status").value();
        threads = threads.substr(threads.find("Threads:"), 11);
        REQUIRE(make_platform_client(platform.address())->put("config/document", "{}", 0));
    };
    loop.schedule(milliseconds{100}, poll);
    loop.schedule(std::chrono::seconds{50}, [&] { loop.stop(); });
    loop.run();
    CHECK(woken == watches);
    CHECK(threads == "Threads:\t1\n");
}
