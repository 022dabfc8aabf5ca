#include "adminserver.h"

#include "looprequest.h"
#include "operatorroutes.h"
#include "peermessages.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace baobabswitch {

namespace {

constexpr std::size_t admin_threads = 8;

std::string status_json(const node_state& node) {
    auto members = nlohmann::json::array();
    for (const auto& [name, it] : node.members) {
        members.push_back({{"node", name},
                           {"domain", it.domain},
                           {"service", it.service},
                           {"state", target_state_name(it.state)},
                           {"address", to_string(it.address)}});
    }
    return nlohmann::json{{"node", node.settings.node_id},
                          {"domain", node.settings.domain},
                          {"config_version", node.config->version},
                          {"running", node.admission.running.size()},
                          {"waiting", node.admission.waiting.size()},
                          {"draining", node.draining},
                          {"members", std::move(members)}}
        .dump();
}

} // namespace

struct admin_server::impl {
    httplib::Server server;
    std::thread thread;
};

result<std::unique_ptr<admin_server>> admin_server::start(node_state& node, std::function<void()> drain) {
    auto state = std::make_unique<impl>();
    auto& server = state->server;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(admin_threads);
    };
    server.Get("/metrics", [&node](const httplib::Request&, httplib::Response& response) {
        response.set_content(node.metrics.render(), "text/plain; version=0.0.4");
    });
    server.Get("/health/live", [&node](const httplib::Request&, httplib::Response& response) {
        const auto alive = run_on_loop<bool>(node.loop, [] { return true; });
        response.status = alive ? 200 : 503;
        response.set_content(alive ? "live\n" : "the event loop doesn't answer\n", "text/plain");
    });
    server.Get("/health/ready", [&node](const httplib::Request&, httplib::Response& response) {
        const auto ready =
            run_on_loop<bool>(node.loop, [&node] { return !node.draining && !node.config->kinds.empty(); });
        response.status = ready.value_or(false) ? 200 : 503;
        response.set_content(response.status == 200 ? "ready\n" : "no configuration yet, or draining\n",
                             "text/plain");
    });
    server.Get("/v1/status", [&node](const httplib::Request&, httplib::Response& response) {
        const auto status = run_on_loop<std::string>(node.loop, [&node] { return status_json(node); });
        response.status = status ? 200 : 503;
        response.set_content(status.value_or("{}"), "application/json");
    });
    server.Get(
        R"(/v1/explain/([^/]+))", [&node](const httplib::Request& request, httplib::Response& response) {
            const auto text = run_on_loop<std::string>(node.loop, [&node, id = request.matches[1].str()] {
                return explain_json(node.trace, id, clock::now());
            });
            response.status = text ? 200 : 503;
            response.set_content(text.value_or("{}"), "application/json");
        });
    add_operator_routes(server, node, std::move(drain));
    const auto& address = node.settings.admin;
    if (!server.bind_to_port(address.host, address.port)) {
        return error{error_kind::bad_settings, "can't listen on the admin address " + to_string(address),
                     "choose an address of this VM and a port that is free"};
    }
    state->thread = std::thread{[&server] {
        server.listen_after_bind();
    }};
    return std::make_unique<admin_server>(std::move(state));
}

admin_server::admin_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

admin_server::~admin_server() {
    impl_->server.stop();
    impl_->thread.join();
}

} // namespace baobabswitch
