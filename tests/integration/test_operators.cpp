#include "configstore.h"
#include "files.h"
#include "mac.h"
#include "platformclient.h"
#include "standinplatform.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace baobabswitch;
using Catch::Contains;
using json = nlohmann::json;

namespace {

constexpr auto token = "a token of the operators";

/// A node process; the destructor stops it.
class node_process {
public:
    explicit node_process(const endpoint& platform)
        : admin{"127.0.0.1", free_port()},
          file_(std::filesystem::temp_directory_path() / ("node-" + std::to_string(admin.port) + ".toml")) {
        std::ofstream{file_} << "node = \"n1\"\ndomain = \"d\"\nlisten = \"127.0.0.1:" << free_port()
                             << "\"\nadmin = \"" << to_string(admin) << "\"\nplatform = \""
                             << to_string(platform) << "\"\n[security]\nactive = \"k\"\noperator_tokens = [\""
                             << token_digest(token) << "\"]\n[[security.keys]]\nid = \"k\"\nsecret = \""
                             << std::string(64, '1') << "\"\n";
        const auto started =
            start_process({program("baobabswitchd"), "--settings", file_.string()}, file_.string() + ".log");
        REQUIRE(started);
        process = started.value();
        for (int n = 0; n < 250 && !client().Get("/health/live"); ++n) {
            std::this_thread::sleep_for(milliseconds{20});
        }
    }
    ~node_process() {
        stop_process(process, 5);
        std::error_code ec;
        std::filesystem::remove(file_, ec);
        std::filesystem::remove(file_.string() + ".log", ec);
    }
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    node_process(node_process&&) = delete;
    node_process& operator=(node_process&&) = delete;

    httplib::Client client() const {
        httplib::Client it{admin.host, admin.port};
        it.set_read_timeout(std::chrono::seconds{30});
        return it;
    }
    std::pair<int, json> put(const json& body, const std::string& with_token = token) const {
        auto it = client();
        it.set_bearer_token_auth(with_token);
        const auto answer = it.Put("/v1/config", body.dump(), "application/json");
        REQUIRE(answer);
        return {answer->status, json::parse(answer->body)};
    }
    json get(const std::string& path) const {
        const auto answer = client().Get(path);
        REQUIRE(answer);
        return json::parse(answer->body);
    }

    endpoint admin;
    pid_t process = 0;

private:
    std::filesystem::path file_;
};

json change(int importance, std::uint64_t base, const std::string& write_id) {
    return {{"document",
             {{"schema", 1},
              {"services", {{"s", {{"slots", 1}, {"connections", 1}, {"queue", 1}}}}},
              {"kinds",
               {{"k",
                 {{"service", "s"}, {"importance", importance}, {"timeout_ms", 5}, {"idempotent", true}}}}}}},
            {"author", "ana"},
            {"reason", "trial"},
            {"base_version", base},
            {"write_id", write_id}};
}

} // namespace

// Guards against a console that is not built from the schema, and changes without a valid token.
TEST_CASE("a node serves the console, the schema and changes by operators", "[operators]") {
    const platform_process platform;
    const node_process node{platform.address()};
    const auto page = node.client().Get("/console");
    REQUIRE(page);
    CHECK_THAT(page->body, Contains("/v1/schema") && Contains("Review the difference"));
    CHECK_THAT(page->body, !Contains("innerHTML") && !Contains("http://") && !Contains("https://"));
    CHECK_THAT(page->get_header_value("Content-Security-Policy"), Contains("default-src 'none'"));
    CHECK(node.get("/v1/schema")["sections"].size() == 3);
    CHECK(node.get("/v1/config")["version"] == 0);

    CHECK(node.put(change(5, 0, "w1"), "wrong").first == 401);
    CHECK(node.put(change(5, 0, "w1"), "").first == 401);
    const auto accepted = node.put(change(5, 0, "w1"));
    CHECK(accepted.first == 200);
    CHECK(accepted.second["version"] == 1);
    const auto invalid = node.put(change(12, 1, "w2"));
    CHECK(invalid.first == 400);
    CHECK_THAT(invalid.second["message"].get<std::string>(), Contains("kinds.k.importance"));
    const auto conflict = node.put(change(6, 0, "w3"));
    CHECK(conflict.first == 409);
    CHECK_THAT(conflict.second["message"].get<std::string>(), Contains("ana was first: version 1"));
    CHECK(node.put({{"document", 1}}).first == 400);
    CHECK(node.get("/v1/config")["document"]["kinds"]["k"]["importance"] == 5);
    CHECK(node.get("/v1/audit")["changes"].size() == 1);
    CHECK(node.get("/v1/rollout")["accepted"]["version"] == 1);

    const auto changes = node.client().Post("/v1/changes", change(7, 1, "").dump(), "application/json");
    REQUIRE(changes);
    CHECK_THAT(changes->body, Contains("~ kinds.k.importance: 5 -> 7"));

    // P8: an accepted version is in force, and reported as such, within 5 s.
    const auto phase = [&] {
        const auto domains = node.get("/v1/rollout")["domains"];
        return domains.empty() ? std::string{} : domains[0]["phase"].get<std::string>();
    };
    const auto start = clock::now();
    while (phase() != "in force" && clock::now() - start < std::chrono::seconds{6}) {
        std::this_thread::sleep_for(milliseconds{100});
    }
    CHECK(clock::now() - start < std::chrono::seconds{5});
    CHECK(node.get("/v1/status")["config_version"] == 1);

    // Reads without a token are answered from the cache and don't load the platform.
    const auto read_start = clock::now();
    const auto calls = platform.counters()["calls"].dump();
    for (int n = 0; n < 20; ++n) {
        (void)node.client().Post("/v1/changes", change(7, 1, "").dump(), "application/json");
        (void)node.get("/v1/config");
    }
    const auto gets = [](const json& counts) {
        return counts["get"].get<int>();
    };
    // Cached responses expire after 1 s, and the node itself reads its domain's status periodically.
    const auto seconds = std::chrono::duration<double>(clock::now() - read_start).count();
    CHECK(gets(platform.counters()["calls"]) - gets(json::parse(calls)) <= 3 + 2 * seconds);
}

// Guards against a lost answer that is reported as a failure, and a node that stops responding while the
// platform does not answer.
TEST_CASE("a lost answer is an unknown outcome and is settled by repeating the change", "[operators]") {
    const platform_process platform;
    const node_process node{platform.address()};
    REQUIRE(platform.control({{"lost_answer_percent", 100}}) == 200);
    std::thread outage{[&] {
        std::this_thread::sleep_for(milliseconds{1000});
        platform.control({{"outage", "refuse"}, {"lost_answer_percent", 0}});
    }};
    const auto unknown = node.put(change(5, 0, "w1"));
    outage.join();
    CHECK(unknown.first == 504);
    CHECK(unknown.second["error"] == "outcome-unknown");
    auto settle = change(5, 0, "w1");
    settle["settle"] = true;
    CHECK(node.put(settle).first == 504);
    CHECK(node.put(change(6, 0, "w2")).first == 503);
    REQUIRE(platform.control({{"outage", "none"}}) == 200);
    const auto settled = node.put(settle);
    CHECK(settled.first == 200);
    CHECK(settled.second["version"] == 1);
    CHECK(read_audit(*make_platform_client(platform.address()), 10).value().size() == 1);

    REQUIRE(platform.control({{"outage", "silent"}}) == 200);
    std::vector<std::thread> readers;
    for (int n = 0; n < 12; ++n) {
        readers.emplace_back([&] {
            (void)node.client().Get(n % 3 == 0 ? "/v1/audit" : n % 3 == 1 ? "/v1/rollout" : "/v1/config");
        });
    }
    std::this_thread::sleep_for(milliseconds{200});
    const auto start = clock::now();
    CHECK(node.client().Get("/health/live")->status == 200);
    CHECK(clock::now() - start < std::chrono::seconds{1});
    for (auto& it : readers) {
        it.join();
    }
}

// Guards against a drain without a valid token, a drain that doesn't end the process, and commands that omit
// a node that does not answer.
TEST_CASE("an operator sees and drains a node", "[operators]") {
    const platform_process platform;
    node_process node{platform.address()};
    const auto log = std::filesystem::temp_directory_path() / ("ops-" + std::to_string(node.admin.port));
    const auto ctl = [&](std::vector<std::string> arguments, const std::string& with_token = "") {
        const auto file = log.string() + ".token";
        std::ofstream{file} << with_token << "\n";
        std::filesystem::remove(log);
        arguments.insert(arguments.begin(), program("baobabswitchctl"));
        arguments.insert(arguments.end(), {"--node", to_string(node.admin), "--token-file", file});
        const auto started = start_process(arguments, log.string());
        REQUIRE(started);
        const auto code = wait_for_exit(started.value(), 20);
        const auto output = read_file(log.string()).value();
        std::filesystem::remove(log);
        std::filesystem::remove(file);
        return std::pair{code, output};
    };
    const auto top = ctl({"top", "--node", "127.0.0.1:" + std::to_string(free_port())});
    CHECK(top.first == 0);
    CHECK_THAT(top.second, Contains("n1") && Contains("no answer"));
    CHECK(ctl({"explain", "n1.1.1"}).first == 9);
    CHECK(ctl({"drain", "n1"}, "wrong").first == 8);
    CHECK(wait_for_exit(node.process, 0.3) == -1);
    CHECK(ctl({"drain", "n2"}, token).first == 9);
    CHECK(ctl({"drain", "n1"}, token).first == 0);
    CHECK(wait_for_exit(node.process, 10) == 0);
}
