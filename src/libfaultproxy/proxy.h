#pragma once

#include "eventloop.h"
#include "rules.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabswitch {

/// One address that the proxy listens on and the address to which it connects.
struct forwarding {
    endpoint listen;
    endpoint forward;
};

/// Passes TCP connections on and injects faults. Rules apply at once, also to open connections. The shares
/// assume HTTP/1.1 without pipelining: the first bytes after an answer are a request, and the reverse.
class fault_proxy {
public:
    struct impl;

    /// Starts to listen on all addresses. Fails with bad_settings.
    static result<std::unique_ptr<fault_proxy>> create(event_loop& loop, const std::vector<forwarding>& pairs,
                                                       std::uint64_t seed);
    explicit fault_proxy(std::shared_ptr<impl> state);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    void set_rules(std::vector<fault_rule> rules);
    /// Returns how often each fault was injected, by name.
    const std::map<std::string, std::uint64_t>& counts() const;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
