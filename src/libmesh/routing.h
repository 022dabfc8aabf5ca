#pragma once

#include "bootclock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobabswitch {

/// Whether a request may run more than once.
enum class repeatability { idempotent, at_most_once };

/// One service of a route and its share of the requests.
struct split_part {
    std::string service;
    double weight = 1;
};

/// Maps requests with a host and path prefix to a service.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    repeatability repeat = repeatability::at_most_once;
    boot_duration timeout{};           ///< the caller gets a final response within this time
    boot_duration latency_objective{}; ///< a response within this time has its full value
    unsigned rank = 0;                 ///< 0 is the most important
    unsigned max_targets = 1;          ///< targets that one request may be sent to
    std::vector<split_part> parts;     ///< never empty
};

/// Configuration of a service.
struct service_policy {
    std::string name;
    std::string health_path;
    std::size_t max_connections = 0; ///< to one target, from all callers
};

/// Limits on the requests of callers.
struct caller_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    boot_duration header_timeout = std::chrono::seconds{5};
    boot_duration idle_timeout = std::chrono::seconds{60};
};

/// One version of the routes, services and limits, as published by the operators.
struct mesh_config {
    std::uint64_t version = 0; ///< 0 if there is no configuration
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;
};

/// Looks up the route of a request in one configuration.
class route_table {
public:
    route_table() = default;
    explicit route_table(const mesh_config& config);

    /// Returns the index of the route with the longest matching path prefix, or npos. The host is
    /// case-insensitive, and its port is ignored.
    std::size_t find(std::string_view host, std::string_view path) const;

    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

private:
    struct entry {
        std::string prefix;
        std::size_t index;
    };
    std::unordered_map<std::string, std::vector<entry>> by_host_; ///< longest prefix first
};

/// Returns the service of the n-th request of a route. The shares hold closely in any consecutive range of
/// requests, not only on average over all requests.
const std::string& choose_service(const route& it, std::uint64_t n);

/// Returns the admission level at which every request is admitted: the largest rank plus one.
double max_admission_level(const mesh_config& config);

} // namespace baobabswitch
