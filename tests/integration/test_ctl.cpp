#include "configstore.h"
#include "files.h"
#include "platformclient.h"
#include "standinplatform.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace baobabswitch;
using Catch::Contains;

namespace {

struct ctl_result {
    int code = 0;
    std::string output; ///< standard output and error
};

/// A temporary directory; the destructor removes it.
struct scratch_folder {
    scratch_folder()
        : path(std::filesystem::temp_directory_path() / ("ctl-test-" + std::to_string(free_port()))) {
        std::filesystem::create_directory(path);
    }
    ~scratch_folder() {
        std::error_code ec;
        std::filesystem::remove_all(path, ec);
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;

    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream{path / name} << text;
        return (path / name).string();
    }
    std::filesystem::path path;
};

ctl_result ctl(const scratch_folder& folder, std::vector<std::string> arguments) {
    const auto log = (folder.path / "output").string();
    std::filesystem::remove(log);
    arguments.insert(arguments.begin(), program("baobabswitchctl"));
    const auto started = start_process(arguments, log);
    REQUIRE(started);
    const auto code = wait_for_exit(started.value(), 60);
    return {code, read_file(log).value()};
}

std::string document(int importance) {
    return R"({"schema":1,"services":{"s":{"slots":1,"connections":1,"queue":1}},"kinds":{"k":{"service":"s",)"
           R"("importance":)" +
           std::to_string(importance) + R"(,"timeout_ms":5,"idempotent":true}}})";
}

std::string domain_status(std::uint64_t version, std::chrono::seconds age) {
    const auto time =
        std::chrono::duration_cast<milliseconds>((std::chrono::system_clock::now() - age).time_since_epoch());
    return nlohmann::json{{"domain", "d"},
                          {"members", nlohmann::json::array()},
                          {"least_version", version},
                          {"greatest_version", version},
                          {"time", static_cast<std::uint64_t>(time.count())}}
        .dump();
}

} // namespace

// Guards against commands that return the wrong exit code, or a message that does not name the fault.
TEST_CASE("the command-line client applies, shows and refuses changes", "[ctl]") {
    const platform_process platform;
    const scratch_folder folder;
    const auto settings = folder.write("ctl.toml", "platform = \"" + to_string(platform.address()) + "\"\n");
    const auto file = folder.write("d.json", document(5));
    const auto invalid_file = folder.write("bad.json", document(12));
    const std::vector<std::string> common_options{"--settings", settings,   "--author",
                                                  "ana",        "--reason", "trial"};
    const auto run = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), common_options.begin(), common_options.end());
        return ctl(folder, arguments);
    };
    CHECK(run({"get"}).code == 9);
    CHECK(run({"validate", file}).code == 0);
    const auto invalid = run({"apply", invalid_file});
    CHECK(invalid.code == 3);
    CHECK_THAT(invalid.output, Contains("kinds.k.importance") && Contains("0 to 9"));
    const auto applied = run({"apply", file});
    CHECK(applied.code == 0);
    CHECK_THAT(applied.output, Contains("accepted: version 1"));
    const auto conflict = run({"apply", file, "--base-version", "0"});
    CHECK(conflict.code == 4);
    CHECK_THAT(conflict.output, Contains("ana was first"));
    CHECK_THAT(run({"audit", "--output", "json"}).output, Contains("\"author\": \"ana\""));
    CHECK(run({"frobnicate"}).code == 2);
    CHECK(ctl(folder, {"status"}).code == 2);
    CHECK_THAT(ctl(folder, {"drain", "n1"}).output, Contains("BAOBABSWITCH_TOKEN"));
    CHECK_THAT(ctl(folder, {"completion-bash"}).output, Contains("complete -F"));
}

// Guards against an apply that reports "in force" early, or hides a domain that is cut off.
TEST_CASE("apply waits for reachable domains and names the one that is cut off", "[ctl]") {
    const platform_process platform;
    const scratch_folder folder;
    const auto file = folder.write("d.json", document(5));
    const auto store = make_platform_client(platform.address());
    const std::vector<std::string> apply{"apply",          file,  "--platform", to_string(platform.address()),
                                         "--author",       "ana", "--reason",   "trial",
                                         "--wait-seconds", "2"};
    const auto first = store->put("status/d", domain_status(0, std::chrono::seconds{0}), 0);
    REQUIRE(first);
    const auto pending = ctl(folder, apply);
    CHECK(pending.code == 7);
    CHECK_THAT(pending.output, Contains("pending"));
    REQUIRE(store->put("status/d", domain_status(1, std::chrono::seconds{60}), first.value()));
    const auto cut = ctl(folder, apply);
    CHECK(cut.code == 0);
    CHECK_THAT(cut.output, Contains("pending, cut off since"));
}

// Guards against an apply that gives up, or writes twice, when the platform's answer is lost.
TEST_CASE("apply settles the unknown outcome of its own and of an earlier attempt", "[ctl]") {
    const platform_process platform;
    const scratch_folder folder;
    const auto file = folder.write("d.json", document(5));
    const std::vector<std::string> apply{"apply",    file,  "--platform", to_string(platform.address()),
                                         "--author", "ana", "--reason",   "trial"};
    REQUIRE(platform.control({{"lost_answer_percent", 100}}) == 200);
    CHECK(ctl(folder, apply).code == 0);
    REQUIRE(platform.control({{"lost_answer_percent", 0}}) == 200);
    const auto store = make_platform_client(platform.address());
    CHECK(read_audit(*store, 10).value().size() == 1);

    auto change = config_change{nlohmann::json::parse(document(6)), "bo", "trial", "t", "w2", 1};
    REQUIRE(platform.control({{"lost_answer_percent", 100}, {"reads_per_second", 1}}) == 200);
    // Times out before the platform allows the read that would settle the outcome.
    const auto short_timeout_store =
        make_platform_client(platform.address(), {milliseconds{300}, milliseconds{300}});
    CHECK(apply_change(*short_timeout_store, change).error().kind == error_kind::outcome_unknown);
    REQUIRE(platform.control({{"lost_answer_percent", 0}, {"reads_per_second", 2000}}) == 200);
    std::this_thread::sleep_for(std::chrono::seconds{1}); // until the rate limit allows reads again
    auto settle = apply;
    settle.insert(settle.end(), {"--write-id", "w2", "--base-version", "1"});
    CHECK_THAT(ctl(folder, settle).output, Contains("accepted: version 2"));
    CHECK(read_audit(*store, 10).value().size() == 2);
}
