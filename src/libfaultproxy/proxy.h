#pragma once

#include "eventloop.h"
#include "rules.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabswitch {

/// A listening address of the proxy and the address that its connections are forwarded to.
struct forwarding {
    endpoint listen;
    endpoint forward;
};

/// TCP proxy that injects faults. New rules apply immediately, also to open connections. The shares in the
/// rules assume HTTP/1.1 without pipelining: a change of direction marks the start of a request or an answer.
class fault_proxy {
public:
    struct impl;

    /// Starts listening on all addresses. Fails with bad_settings if an address can't be bound.
    static result<std::unique_ptr<fault_proxy>> create(event_loop& loop, const std::vector<forwarding>& pairs,
                                                       std::uint64_t seed);
    explicit fault_proxy(std::shared_ptr<impl> state);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    void set_rules(std::vector<fault_rule> rules);
    /// Returns the number of injected faults by name.
    const std::map<std::string, std::uint64_t>& counts() const;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
