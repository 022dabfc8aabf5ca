#pragma once

#include "nodestate.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabswitch {

/// HTTP server for the operators' interface of a node; runs on its own threads.
class admin_server {
public:
    /// Starts listening on the admin address. `drain` is called on the event loop when an operator requests
    /// that the node stop. Fails with bad_settings.
    static result<std::unique_ptr<admin_server>> start(node_state& node, std::function<void()> drain);

    struct impl;
    explicit admin_server(std::unique_ptr<impl> state);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace baobabswitch
