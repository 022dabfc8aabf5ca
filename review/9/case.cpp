// Machines are lost for good and replaced; then nodes in touch follow the configuration late.
#include "standins.h"

using namespace review;

namespace {

constexpr int zones = 3;
constexpr int machines_per_zone = 3;
constexpr int losses_per_slot = 3;
constexpr int changes = 3;
constexpr double stale_age_s = 3;

struct machine {
    std::unique_ptr<node> process;
    std::unique_ptr<app_server> server;
};

std::string prefix(unsigned version) {
    return "/only-" + std::to_string(version) + "/";
}

json version_document(unsigned version) {
    return configuration(version, {route("r-all", "/all/", "svc"), route("r-only", prefix(version), "svc")},
                         {"svc"});
}

} // namespace

int main() {
    store platform{{network() + "250", first_port}};
    platform.stale_age_s = stale_age_s;
    platform.put("config", "main", version_document(1));
    int last_host = 0;
    std::vector<machine> machines(zones * machines_per_zone);
    const auto add = [&](machine& it, int slot, bool first_start) {
        const int n = ++last_host;
        it.process = std::make_unique<node>("node-" + std::to_string(n), n,
                                            "zone-" + std::to_string(slot / machines_per_zone + 1), "svc",
                                            platform.at());
        it.process->start(first_start);
        it.process->await_ready(20);
        it.server = std::make_unique<app_server>(*it.process, "i-" + std::to_string(n), unix_ms(), 50);
        it.server->keep_beating();
    };
    for (int slot = 0; slot < static_cast<int>(machines.size()); ++slot) {
        add(machines[slot], slot, true);
    }
    sleep_s(stale_age_s + 1);
    std::vector<machine> lost;
    for (int round = 0; trouble() && round < losses_per_slot; ++round) {
        for (int slot = 0; slot < static_cast<int>(machines.size()); ++slot) {
            auto& it = machines[slot];
            record("the machine of %s is lost", it.process->name().c_str());
            it.process->kill();
            it.server->crash();
            lost.push_back(std::move(it));
            add(it, slot, false);
        }
        sleep_s(2);
    }
    sleep_s(bounds{}.contact_s + stale_age_s + 2);
    std::atomic<bool> stopped = false;
    std::vector<std::thread> clients;
    for (std::size_t slot = 0; slot < machines.size(); ++slot) {
        clients.emplace_back([&, slot] {
            for (int n = 0; !stopped; ++n) {
                (void)ask(machines[slot].process->outbound(), "GET", "/all/x",
                          "c" + std::to_string(slot) + "." + std::to_string(n));
                sleep_s(0.25);
            }
        });
    }
    long broken = 0;
    long asked = 0;
    for (unsigned version = 2; version < 2 + changes; ++version) {
        const double acked = platform.put("config", "main", version_document(version));
        record("version %u acknowledged", version);
        sleep_s(bounds{}.config_apply_s + 0.1);
        for (const auto& it : machines) {
            for (const unsigned asked_version : {version - 1, version}) {
                const auto id =
                    it.process->name() + ".v" + std::to_string(version) + "-" + std::to_string(asked_version);
                const double sent = now();
                const auto answer = ask(it.process->outbound(), "GET", prefix(asked_version) + "x", id);
                const int status = answer ? answer->status() : 0;
                const bool old = asked_version == version ? status == 404 : status == 200;
                ++asked;
                broken += old ? 1 : 0;
                record("%s %s, sent %.2f s after the acknowledgement of %u: %d%s", id.c_str(),
                       prefix(asked_version).c_str(), sent - acked, version, status,
                       old ? " BROKEN: as only the older version allows" : "");
            }
        }
        sleep_s(stale_age_s + 1.5);
    }
    stopped = true;
    for (auto& it : clients) {
        it.join();
    }
    record("%ld of %ld requests handled as only an older version allows", broken, asked);
    finish(broken > 0 ? exit_broken : exit_held);
}
