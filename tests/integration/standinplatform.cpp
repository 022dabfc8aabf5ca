#include "standinplatform.h"

#include "eventloop.h"
#include "httpserver.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <cstdlib>
#include <filesystem>
#include <thread>

namespace baobabswitch {

namespace {

constexpr int start_attempts = 250;
constexpr std::chrono::milliseconds start_poll_interval{20};

} // namespace

std::uint16_t free_port() {
    event_loop loop;
    const auto server = http_server::listen(loop, {"127.0.0.1", 0}, {}, [](auto, auto) {});
    REQUIRE(server);
    return server.value()->port();
}

std::string program(const std::string& name) {
    const char* folder = std::getenv("BAOBABSWITCH_BIN");
    return std::string{folder == nullptr ? "build/bin" : folder} + "/" + name;
}

platform_process::platform_process(const std::string& objects_file) : address_{"127.0.0.1", free_port()} {
    log_file_ = (std::filesystem::temp_directory_path() /
                 ("standin-platform-" + std::to_string(address_.port) + ".log"))
                    .string();
    std::vector<std::string> arguments{program("standin-platform"), "--listen", to_string(address_)};
    if (!objects_file.empty()) {
        arguments.insert(arguments.end(), {"--objects", objects_file});
    }
    const auto started = start_process(arguments, log_file_);
    REQUIRE(started);
    process_ = started.value();
    httplib::Client client{address_.host, address_.port};
    for (int n = 0; n < start_attempts; ++n) {
        if (client.Get("/counters")) {
            return;
        }
        std::this_thread::sleep_for(start_poll_interval);
    }
    FAIL("standin-platform did not start; see " << log_file_);
}

platform_process::~platform_process() {
    stop_process(process_, 5);
    std::error_code ec;
    std::filesystem::remove(log_file_, ec);
}

const endpoint& platform_process::address() const {
    return address_;
}

int platform_process::control(const nlohmann::json& faults) const {
    httplib::Client client{address_.host, address_.port};
    const auto answer = client.Post("/control", faults.dump(), "application/json");
    return answer ? answer->status : 0;
}

pid_t platform_process::process() const {
    return process_;
}

nlohmann::json platform_process::counters() const {
    httplib::Client client{address_.host, address_.port};
    const auto answer = client.Get("/counters");
    REQUIRE(answer);
    return nlohmann::json::parse(answer->body);
}

} // namespace baobabswitch
