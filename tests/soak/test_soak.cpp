#include "metadatastandin.h"
#include "metadatastore.h"
#include "process.h"
#include "proxy.h"
#include "soak.h"
#include "soakledger.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace baobabswitch;

namespace {

struct store_fixture {
    event_loop loop;
    std::unique_ptr<metadata_standin> store;
    std::unique_ptr<object_client> client;

    store_fixture() {
        auto created = metadata_standin::create(loop, {"127.88.251.1", 18399});
        REQUIRE(created);
        store = std::move(created.value());
        client = platform::make_metadata_store(loop, {"127.88.251.1", 18399}, "127.88.251.2");
    }
    void run_for(milliseconds time) {
        loop.schedule(time, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

// Guards against a stand-in that accepts writes which the platform's store rejects; it would hide lost
// writes.
TEST_CASE("the store stand-in accepts conditional writes only for the current revision", "[standin]") {
    store_fixture it;
    era_revision revision;
    it.client->create("targets", "a", R"({"n":1})", [&](const result<stored_object>& made) {
        REQUIRE(made);
        revision = made.value().revision;
    });
    it.run_for(milliseconds{100});
    REQUIRE(is_known(revision));
    std::vector<error_kind> errors;
    const auto record_error = [&](const result<stored_object>& made) {
        REQUIRE_FALSE(made);
        errors.push_back(made.error().kind);
    };
    it.client->create("targets", "a", R"({"n":2})", record_error);
    it.run_for(milliseconds{50});
    it.client->replace("targets", {"a", {revision.era, revision.number + 7}, R"({"n":2})", false},
                       record_error);
    it.run_for(milliseconds{50});
    it.client->remove("targets", "b", {}, record_error);
    it.run_for(milliseconds{50});
    CHECK(errors == std::vector{error_kind::conflict, error_kind::conflict, error_kind::not_found});
    std::string content;
    it.client->get("targets", "a",
                   [&](const result<stored_object>& read) { content = read.value().content; });
    it.run_for(milliseconds{50});
    CHECK(content == R"({"n":1})");
}

// Guards against a watch that misses a change or that continues after the history was discarded.
TEST_CASE("the store stand-in answers a watch with the change or with 410 after its history is lost",
          "[standin]") {
    store_fixture it;
    it.store->put("config", "main", R"({"n":1})");
    era_revision revision;
    it.client->list("config", freshness::current,
                    [&](const result<object_list>& all) { revision = all.value().revision; });
    it.run_for(milliseconds{100});
    std::vector<std::string> seen;
    it.client->watch("config", revision, std::chrono::seconds{5}, freshness::current,
                     [&](const result<object_list>& changes) {
                         REQUIRE(changes);
                         for (const auto& object : changes.value().objects) {
                             seen.push_back(object.content);
                         }
                     });
    it.run_for(milliseconds{50});
    CHECK(seen.empty());
    it.store->put("config", "main", R"({"n":2})");
    it.run_for(milliseconds{50});
    CHECK(seen == std::vector<std::string>{R"({"n":2})"});
    it.store->discard_history();
    bool gone = false;
    it.client->watch("config", revision, std::chrono::seconds{5}, freshness::current,
                     [&](const result<object_list>& changes) {
                         gone = !changes && changes.error().kind == error_kind::not_found;
                     });
    it.run_for(milliseconds{50});
    CHECK(gone);
}

// Guards against a proxy that forwards requests before earlier closes of other connections: a target would
// receive more calls than it has slots, although its node released the slots first.
TEST_CASE("the proxy forwards connection closes before later requests on other connections", "[proxy]") {
    constexpr std::uint16_t server_port = 18398;
    constexpr std::uint16_t proxy_port = 18397;
    constexpr int rounds = 40;
    constexpr std::size_t batch = 4;
    const endpoint address{"127.88.251.3", server_port};
    const endpoint front{"127.88.251.3", proxy_port};
    event_loop loop;
    std::size_t running = 0;
    std::size_t max_running = 0;
    auto server = http_server::listen(
        loop, address, {}, [&](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
            max_running = std::max(max_running, ++running);
            exchange->on_abandoned([&running] { --running; });
            // Holds the exchange until its connection closes.
            loop.schedule(milliseconds{5000}, [exchange] { (void)exchange; });
        });
    REQUIRE(server);
    auto proxy = fault_proxy::create(loop, {{front, address}}, 1);
    REQUIRE(proxy);
    const auto open = [&] {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(proxy_port);
        ::inet_pton(AF_INET, front.host.c_str(), &peer.sin_addr);
        REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0);
        return fd;
    };
    const auto send = [](int fd) {
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(::send(fd, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    };
    const auto run_for = [&](milliseconds time) {
        loop.schedule(time, [&loop] { loop.stop(); });
        loop.run();
    };
    std::vector<int> busy;
    for (int n = 0; n < rounds; ++n) {
        std::vector<int> idle(batch);
        std::generate(idle.begin(), idle.end(), open);
        run_for(milliseconds{10});
        for (const int fd : busy) {
            ::close(fd);
        }
        std::for_each(idle.begin(), idle.end(), send);
        run_for(milliseconds{10});
        CHECK(running == batch);
        busy = std::move(idle);
    }
    for (const int fd : busy) {
        ::close(fd);
    }
    CHECK(max_running == batch);
}

// Guards against child processes that inherit the parent's sockets: the peer would not see a connection
// close, so that a stand-in counted cancelled calls as running (soak seeds 1, 63 and 121).
TEST_CASE("a child process inherits no sockets", "[process]") {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.88.251.4", &address.sin_addr);
    socklen_t size = sizeof address;
    REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&address), size) == 0);
    REQUIRE(::listen(listener, 1) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    const int client = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(client, reinterpret_cast<const sockaddr*>(&address), size) == 0);
    const int accepted = ::accept(listener, nullptr, nullptr);
    const auto program = start_process({"/bin/sleep", "5"}, "/dev/null");
    REQUIRE(program);
    std::this_thread::sleep_for(milliseconds{100});
    ::close(accepted);
    std::this_thread::sleep_for(milliseconds{50});
    char buf = 0;
    CHECK(::recv(client, &buf, 1, MSG_DONTWAIT) == 0);
    ::kill(program.value(), SIGKILL);
    (void)wait_for_exit(program.value(), 5);
    ::close(client);
    ::close(listener);
}

// Guards against a soak that passes because its checks detect nothing.
TEST_CASE("the soak ledger reports each violated guarantee", "[ledger]") {
    soak_ledger it;
    record_sent(it, "w", false, {});
    record_execution(it, "w");
    CHECK(it.violations.empty());
    record_execution(it, "w");
    CHECK(it.violations.size() == 1);
    record_sent(it, "r", true, {});
    record_execution(it, "r");
    record_execution(it, "r");
    record_answer(it, "r", 200, "r");
    CHECK(it.violations.size() == 1);
    record_execution(it, "r");
    CHECK(it.violations.size() == 2);
    record_sent(it, "s", false, {});
    record_answer(it, "s", 503, "s");
    CHECK(it.violations.size() == 2);
    record_execution(it, "s");
    CHECK(it.violations.size() == 3);
    record_sent(it, "t", false, {});
    record_execution(it, "t");
    record_answer(it, "t", 503, "t");
    CHECK(it.violations.size() == 4);
    record_sent(it, "u", true, {});
    record_execution(it, "u");
    record_answer(it, "u", 200, "t");
    CHECK(it.violations.size() == 5);
    record_sent(it, "v", true, {});
    record_answer(it, "v", 200, "v");
    CHECK(it.violations.size() == 6);
    record_execution(it, "nobody");
    CHECK(it.violations.size() == 7);
}

// Guards against a node that SIGHUP terminates while it starts (soak seed 118).
TEST_CASE("a node survives SIGHUP while it reads its settings", "[run]") {
    const char* programs = std::getenv("BAOBABSWITCH_BIN");
    REQUIRE(programs != nullptr);
    const auto folder = std::filesystem::temp_directory_path() / "baobabswitch-soak-hup";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto settings = (folder / "settings").string();
    // Opening a FIFO for reading blocks until there is a writer, so the node can't finish its startup.
    REQUIRE(::mkfifo(settings.c_str(), 0600) == 0);
    const auto node = start_process({std::string{programs} + "/baobabswitch-mesh", "--settings", settings},
                                    (folder / "log").string());
    REQUIRE(node);
    std::this_thread::sleep_for(milliseconds{300});
    ::kill(node.value(), SIGHUP);
    std::this_thread::sleep_for(milliseconds{200});
    CHECK(wait_for_exit(node.value(), 0) == -1);
    ::kill(node.value(), SIGKILL);
    (void)wait_for_exit(node.value(), 5);
    std::filesystem::remove_all(folder);
}

// Guards against violated guarantees when real nodes are killed, paused or stopped, targets are replaced or
// their links fail, the store is faulty, and the load has bursts.
TEST_CASE("a short soak run violates no guarantee", "[run]") {
    const char* programs = std::getenv("BAOBABSWITCH_BIN");
    REQUIRE(programs != nullptr);
    soak_options options;
    options.seed = first_seed(1);
    options.node_program = std::string{programs} + "/baobabswitch-mesh";
    options.folder = (std::filesystem::temp_directory_path() / "baobabswitch-soak-test").string();
    const auto report = run_soak(options);
    REQUIRE(report);
    for (const auto& it : report.value().violations) {
        FAIL_CHECK(it);
    }
    CHECK(report.value().served > 0);
    CHECK(report.value().faults.size() > 3);
}
