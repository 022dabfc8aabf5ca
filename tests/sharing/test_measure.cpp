#include "simulation.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <iomanip>
#include <iostream>

using namespace baobabswitch;
using namespace baobabswitch::simulation;
using std::chrono::seconds;

namespace {

std::uint64_t bytes_sent(const fleet& it) {
    std::uint64_t sum = 0;
    for (const auto& vm : it.vms) {
        sum += vm->state.gossip.bytes_sent;
    }
    return sum;
}

/// Runs until the condition holds for every running VM, then prints the time taken and the traffic.
void measure(fleet& it, const std::string& what, seconds timeout,
             const std::function<bool(const vm&)>& reached) {
    const auto start = it.now;
    const auto bytes = bytes_sent(it);
    const auto count = [&] {
        return static_cast<std::size_t>(std::count_if(
            it.vms.begin(), it.vms.end(), [&](const auto& vm) { return !vm->running || reached(*vm); }));
    };
    double seconds_to_99_percent = 0;
    while (count() < it.vms.size() && it.now - start < timeout) {
        it.run(milliseconds{100});
        if (seconds_to_99_percent == 0 && count() * 100 >= it.vms.size() * 99) {
            seconds_to_99_percent = std::chrono::duration<double>(it.now - start).count();
        }
    }
    const std::chrono::duration<double> time = it.now - start;
    const auto rate =
        static_cast<double>(bytes_sent(it) - bytes) / time.count() / static_cast<double>(it.vms.size());
    std::cout << std::setw(44) << std::left << what << " reached " << count() << "/" << it.vms.size()
              << ", 99% in " << seconds_to_99_percent << " s, all in " << time.count() << " s, " << rate
              << " bytes/s a node" << std::endl;
}

} // namespace

// Prints how fast changes propagate at the design size, and the control traffic per node.
TEST_CASE("propagation time at the design size", "[.measure]") {
    const auto* nodes = std::getenv("BAOBABSWITCH_NODES");
    const auto seed = first_seed(1);
    fleet it{seed, nodes == nullptr ? 610 : std::strtoul(nodes, nullptr, 10), 5};
    std::cout << it.vms.size() << " nodes, 5 domains, BAOBABSWITCH_SEED=" << seed << '\n';
    for (std::size_t n = 0; n < it.vms.size(); ++n) {
        it.start(n);
    }
    it.publish();
    if (std::getenv("BAOBABSWITCH_PREFILL") != nullptr) {
        it.prefill();
    }
    const auto all_known = [&](const vm& one) {
        const auto& members = one.state.gossip.members;
        return members.size() == it.vms.size() &&
               std::all_of(members.begin(), members.end(),
                           [](const auto& entry) { return entry.second.state == target_state::up; });
    };
    const auto all_live = [&](const vm& one) {
        const auto& members = one.state.gossip.members;
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto& entry) {
                   return entry.second.state != target_state::down;
               })) >= it.vms.size();
    };
    measure(it, "all start at once: all know all", seconds{300}, all_known);
    measure(it, "at rest, first 60 s", seconds{60}, [](const vm&) { return false; });
    measure(it, "at rest, next 60 s", seconds{60}, [](const vm&) { return false; });
    const auto id = it.vms.at(7)->state.gossip.self;
    it.set_state(7, target_state::leaving);
    measure(it, "a leaving state", seconds{60},
            [&](const vm& one) { return one.state.gossip.members.at(id).state == target_state::leaving; });
    it.run(seconds{20});
    const auto version = it.publish();
    measure(it, "a configuration version", seconds{60},
            [&](const vm& one) { return one.state.gossip.config.version >= version; });
    it.run(seconds{20});
    const auto dead = it.vms.at(9)->state.gossip.self;
    it.stop(9);
    measure(it, "a VM that died is down", seconds{120},
            [&](const vm& one) { return one.state.gossip.members.at(dead).state == target_state::down; });
    it.start(9);
    measure(it, "a replaced VM is known", seconds{120}, all_live);
    it.run(seconds{20});
    for (std::size_t domain = 1; domain < 5; ++domain) {
        it.cut_domains.insert({0, domain});
        it.cut_domains.insert({domain, 0});
    }
    it.cut_from_platform.insert(0);
    it.run(seconds{60});
    const auto later = it.publish();
    it.run(seconds{30});
    it.cut_domains.clear();
    it.cut_from_platform.clear();
    measure(it, "a domain rejoins: configuration", seconds{60},
            [&](const vm& one) { return one.state.gossip.config.version >= later; });
    measure(it, "a domain rejoins: members", seconds{200}, all_live);
    CHECK(it.violation() == "");
}
