#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Prometheus metrics of a mesh node.
class mesh_metrics {
public:
    mesh_metrics();
    ~mesh_metrics();
    mesh_metrics(const mesh_metrics&) = delete;
    mesh_metrics& operator=(const mesh_metrics&) = delete;
    mesh_metrics(mesh_metrics&&) = delete;
    mesh_metrics& operator=(mesh_metrics&&) = delete;

    /// Counts a request from this VM by route, status and reason, and records its latency.
    void count_request(std::string_view route, unsigned status, std::string_view reason, double seconds);
    /// Counts a call at the local target by outcome and reason, and records its queue and service times.
    void count_run(std::string_view outcome, std::string_view reason, double wait_seconds,
                   double service_seconds);
    /// Counts an event: "retry", "retry_denied", "malformed_announcement" and the like.
    void count_event(std::string_view event);
    /// Counts a call to the store by purpose ("list", "probe", "watch", "get", "write", "remove") and result.
    void count_store_call(std::string_view purpose, std::string_view result);
    void set_gauge(std::string_view name, double value);

    /// Renders all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace baobabswitch
