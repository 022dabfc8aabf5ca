#pragma once

#include "calltypes.h"
#include "invariants.h"

#include <memory>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Metrics of one node. May be used from any thread.
class node_metrics {
public:
    explicit node_metrics(const invariant_table& invariants);
    ~node_metrics();
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;
    node_metrics(node_metrics&&) = delete;
    node_metrics& operator=(node_metrics&&) = delete;

    /// Counts a call that entered at this node, by kind, outcome and cause ("" if done), and records its
    /// duration in seconds.
    void count_call(std::string_view kind, outcome_kind outcome, std::string_view cause, double seconds);
    /// Counts an event such as "retry", "hedge", "evicted" or "bad-mac", or an error by its error_name().
    void count_event(std::string_view event);
    /// Counts bytes of control messages (gossip, pings, configuration) sent.
    void count_control_bytes(std::size_t n);
    /// Sets a gauge, for example "running", "waiting" or "limit".
    void set_gauge(std::string_view name, double value);

    /// Renders all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace baobabswitch
