#pragma once

#include "nodestate.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabswitch {

/// Operators' HTTP interface of a node, on its own threads.
class admin_server {
public:
    /// Starts to listen on the admin address. `drain` is called on the event loop when an operator asks the
    /// node to stop. Fails with bad_settings.
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
