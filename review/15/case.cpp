// Many processes are killed at once, among them those that tell their zone of new configurations, just before
// one is written. Do the other machines of the zone apply it in time?
#include "standin.h"

#include <csignal>

using namespace review;

namespace {

const std::string host = "shop.example";
constexpr double config_apply_s = 2;
constexpr double down_s = 2;  // herd_kill, for_s
constexpr double stale_s = 3; // age of answers to calls with stale_ok
constexpr std::size_t killed = 3;
constexpr std::size_t machines = 7;

/// Services of the machines 4 to 7; each has one server.
const std::vector<std::string> services{"back", "store", "search", "other"};

json config(unsigned version) {
    std::vector<json> routes{
        make_route("r-moved", "/moved/", "idempotent", version < 3 ? "back" : "other", 2, 1, 1, 2)};
    for (const auto& it : services) {
        routes.push_back(make_route("r-" + it, "/" + it + "/", "idempotent", it, 2, 1, 1, 2));
    }
    if (version == 2) {
        routes.push_back(make_route("r-two", "/two/", "idempotent", "back", 2, 1, 1, 2));
    }
    if (version >= 3) {
        routes.push_back(make_route("r-three", "/three/", "idempotent", "back", 2, 1, 1, 2));
    }
    return make_config(version, {"front", "back", "store", "search", "other"}, host, routes);
}

} // namespace

int main(int, char** argv) {
    open_record(argv[1]);
    const std::string store_ip = machine_ip(250);
    store platform({store_ip, free_port(store_ip)});
    platform.stale_lag_s = stale_s;
    platform.put("config", "main", config(1));
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<node*> all;
    for (std::size_t n = 0; n < machines; ++n) {
        const std::string ip = machine_ip(static_cast<int>(n) + 1);
        const std::string service = n < killed ? "front" : services[n - killed];
        const address at{ip, free_port(ip)};
        const std::string name = "node-" + std::to_string(n + 1);
        nodes.push_back(
            std::make_unique<node>(node::options{name, "zone-a", service, ip, at, platform.at()}));
        servers.push_back(std::make_unique<server>(server::options{
            "i-" + service + "-" + std::to_string(n + 1), service, "zone-a", at, nodes.back()->control}));
        nodes.back()->start(true);
        servers.back()->start(1'800'000'000'000);
        all.push_back(nodes.back().get());
    }
    if (!wait_ready(all, 8)) {
        finish(2, "the nodes are not ready");
    }
    sleep_until(8);
    std::atomic<bool> traffic{true};
    std::atomic<unsigned> serial{0};
    std::vector<std::atomic<bool>> takes_clients(machines);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < machines; ++n) {
        takes_clients[n] = true;
        // The platform asks each node once a second whether it is ready; two misses take it out.
        threads.emplace_back([&, n] {
            for (unsigned misses = 0; traffic; sleep_for(1)) {
                misses = nodes[n]->ready() ? 0 : misses + 1;
                takes_clients[n] = misses < 2;
            }
        });
        // The clients of each machine ask the four services in turn, some 20 times a second.
        threads.emplace_back([&, n] {
            for (std::size_t k = 0; traffic; ++k) {
                if (takes_clients[n]) {
                    send_request(nodes[n]->outbound, "GET", host, "/" + services[k % services.size()] + "/x",
                                 "t" + std::to_string(++serial), 2000);
                }
                sleep_for(0.03);
            }
        });
    }
    const auto ask = [&](node& at, const std::string& path) {
        return send_request(at.outbound, "GET", host, path, "q" + std::to_string(++serial), 2000);
    };

    // Planned work: a configuration.
    sleep_until(14);
    platform.put("config", "main", config(2));
    record("operator: version 2 is acknowledged");
    sleep_for(config_apply_s + 0.05);
    for (auto* it : all) {
        if (ask(*it, "/two/x").status != 200) {
            finish(2, it->name() + " doesn't serve the second configuration in time");
        }
    }

    sleep_until(22.2);
    if (trouble()) {
        for (std::size_t n = 0; n < killed; ++n) {
            nodes[n]->signal(SIGKILL);
        }
        for (std::size_t n = 0; n < killed; ++n) {
            nodes[n]->wait();
        }
    }
    const double killed_at = now_s();
    platform.put("config", "main", config(3));
    const double acknowledged = now_s();
    record("operator: version 3 is acknowledged");
    std::thread restart([&] {
        sleep_until(killed_at + down_s);
        for (std::size_t n = 0; trouble() && n < killed; ++n) {
            nodes[n]->start(false);
        }
    });
    unsigned sent = 0;
    unsigned old_route = 0;
    unsigned missing_route = 0;
    double last = 0;
    sleep_until(acknowledged + config_apply_s + 0.05);
    while (now_s() < acknowledged + config_apply_s + 4) {
        for (std::size_t n = killed; n < machines; ++n) {
            const double at = now_s();
            const auto moved = ask(*nodes[n], "/moved/x");
            const auto added = ask(*nodes[n], "/three/x");
            const bool is_old = moved.signed_by_server && moved.body.find("i-back") != std::string::npos;
            sent += 2;
            old_route += is_old ? 1 : 0;
            missing_route += added.status == 404 ? 1 : 0;
            last = is_old || added.status == 404 ? at - acknowledged : last;
        }
        sleep_for(0.05);
    }
    restart.join();
    traffic = false;
    for (auto& it : threads) {
        it.join();
    }
    char seconds[16];
    std::snprintf(seconds, sizeof seconds, "%.2f", last);
    finish(old_route + missing_route > 0 ? 1 : 0,
           "of " + std::to_string(sent) +
               " requests, sent later than 2.05 s after the acknowledgement at machines "
               "that were not killed, " +
               std::to_string(old_route) + " were run by the service of an older version and " +
               std::to_string(missing_route) + " were answered 404; the last of them was sent after " +
               seconds + " s");
}
