#pragma once

#include "httpmessage.h"
#include "process.h"

#include <nlohmann/json.hpp>

#include <string>

namespace baobabswitch {

/// A running standin-platform; the destructor stops it. Its log is in the temporary directory.
class platform_process {
public:
    explicit platform_process(const std::string& objects_file = "");
    ~platform_process();
    platform_process(const platform_process&) = delete;
    platform_process& operator=(const platform_process&) = delete;
    platform_process(platform_process&&) = delete;
    platform_process& operator=(platform_process&&) = delete;

    const endpoint& address() const;
    /// Sets faults, rates and delays, and returns the status of the response.
    int control(const nlohmann::json& faults) const;
    nlohmann::json counters() const;
    pid_t process() const;

private:
    endpoint address_;
    std::string log_file_;
    pid_t process_ = 0;
};

/// Returns a free port of 127.0.0.1; another process may take it before it is used.
std::uint16_t free_port();
/// Returns the path of a program of this build.
std::string program(const std::string& name);

} // namespace baobabswitch
