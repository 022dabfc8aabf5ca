// A drill of the store: it comes back from a copy some seconds old. Is the next configuration applied?
#include "standin.h"

using namespace review;

namespace {

constexpr double contact_s = 3;
constexpr double config_apply_s = 2;
constexpr double max_stretch_s = 5;
const std::string host = "shop.example";

json config(unsigned version) {
    const std::vector<std::string> services{"alpha", "beta"};
    std::vector<json> routes{
        make_route("r-one", "/one/", "idempotent", version < 3 ? "alpha" : "beta", 2, 1, 1, 2)};
    if (version >= 2) {
        routes.push_back(make_route("r-two", "/two/", "idempotent", "alpha", 2, 1, 1, 2));
    }
    if (version >= 3) {
        routes.push_back(make_route("r-three", "/three/", "idempotent", "beta", 2, 1, 1, 2));
    }
    return make_config(version, services, host, routes);
}

} // namespace

int main(int, char** argv) {
    open_record(argv[1]);
    const std::string store_ip = machine_ip(250);
    store platform({store_ip, free_port(store_ip)});
    platform.stale_lag_s = 0.5;
    platform.put("config", "main", config(1));

    // Four machines in one zone: two servers of each service.
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 4; ++n) {
        const std::string ip = machine_ip(n);
        const std::string service = n <= 2 ? "alpha" : "beta";
        const address at{ip, free_port(ip)};
        nodes.push_back(std::make_unique<node>(
            node::options{"node-" + std::to_string(n), "zone-a", service, ip, at, platform.at()}));
        servers.push_back(std::make_unique<server>(server::options{
            "i-" + service + "-" + std::to_string(n), service, "zone-a", at, nodes.back()->control}));
    }
    for (auto& it : nodes) {
        it->start(true);
    }
    for (auto& it : servers) {
        it->start(1'800'000'000'000);
    }
    std::vector<node*> all;
    for (auto& it : nodes) {
        all.push_back(it.get());
    }
    if (!wait_ready(all, 8)) {
        finish(2, "the nodes are not ready");
    }
    sleep_until(8); // traffic starts 8 s after the machines
    unsigned serial = 0;
    const auto ask = [&](const std::string& path) {
        unsigned served = 0;
        for (auto* it : all) {
            const std::string id = "q" + std::to_string(++serial);
            served += send_request(it->outbound, "GET", host, path, id, 2000).signed_by_server ? 1 : 0;
        }
        return served;
    };
    if (ask("/one/x") != 4) {
        finish(2, "the first configuration is not served");
    }

    // Planned work: a server leaves, and the operator writes a configuration.
    sleep_until(12);
    const auto copy = platform.revision();
    servers[1]->drain();
    sleep_for(0.5);
    platform.put("config", "main", config(2));
    record("operator: version 2 is acknowledged, revision " + std::to_string(platform.revision()));
    sleep_for(1.5);
    if (ask("/two/x") != 4) {
        finish(2, "the second configuration is not served");
    }

    if (trouble()) {
        record("store: away; its copy is of revision " + std::to_string(copy) + ", it had " +
               std::to_string(platform.revision()));
        platform.go_away();
        sleep_for(1.5);
        platform.come_back(copy, nullptr);
        record("store: back");
        platform.put("config", "main", config(2)); // what the operator wrote is written again
        record("operator: version 2 is written again, revision " + std::to_string(platform.revision()));
    } else {
        sleep_for(1.5);
    }
    platform.put("config", "main", config(3));
    const double acknowledged = now_s();
    record("operator: version 3 is acknowledged, revision " + std::to_string(platform.revision()));

    // All machines are in touch contact_s after the drill. Requests are sent later than any bound.
    unsigned old_route = 0;
    unsigned missing_route = 0;
    unsigned sent = 0;
    for (const double after_s : {contact_s + config_apply_s + max_stretch_s + 1, 20.0, 40.0}) {
        sleep_until(acknowledged + after_s);
        for (auto* it : all) {
            const std::string id = "v" + std::to_string(++serial);
            const auto moved = send_request(it->outbound, "GET", host, "/one/x", id + "a", 2000);
            const auto added = send_request(it->outbound, "GET", host, "/three/x", id + "b", 2000);
            sent += 2;
            old_route += moved.signed_by_server && moved.body.find("i-alpha") != std::string::npos ? 1 : 0;
            missing_route += added.status == 404 ? 1 : 0;
        }
    }
    const std::string result = "of " + std::to_string(sent) +
                               " requests sent 11 to 40 s after the acknowledgement of "
                               "version 3, " +
                               std::to_string(old_route) +
                               " were run by the service of an older "
                               "version and " +
                               std::to_string(missing_route) +
                               " were answered 404 though their route is there";
    finish(old_route + missing_route > 0 ? 1 : 0, result);
}
