#include "simulation.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace baobabswitch;
using namespace baobabswitch::simulation;
using std::chrono::seconds;

namespace {

constexpr std::size_t schedule_count = 2000;
constexpr std::size_t thread_count = 8;
constexpr int fault_seconds = 8;
constexpr int heal_seconds = 60;

std::size_t random_below(fleet& it, std::size_t n) {
    return static_cast<std::size_t>(it.rng() % n);
}

void cut_domains(fleet& it, std::size_t a, std::size_t b) {
    it.cut_domains.insert({a, b});
    it.cut_domains.insert({b, a});
}

void inject_fault(fleet& it, std::size_t domains) {
    const auto n = random_below(it, it.vms.size());
    const auto domain = random_below(it, domains);
    switch (it.rng() % 12) {
    case 0:
        // An isolated node declares no member down, so at least two must keep running to converge.
        if (std::count_if(it.vms.begin(), it.vms.end(), [](const auto& vm) { return vm->running; }) > 2) {
            it.stop(n);
        }
        break;
    case 1:
        it.replace(n, false);
        break;
    case 2:
        it.replace(n, true);
        break;
    case 3:
        it.pause(n, seconds{1 + it.rng() % 9});
        break;
    case 4:
        it.set_state(n, target_state::leaving);
        break;
    case 5:
        it.cut_vms.insert({n, random_below(it, it.vms.size())});
        break;
    case 6: // a partition between two domains that both still reach the others
        cut_domains(it, domain, (domain + 1) % domains);
        break;
    case 7: // one domain isolated from the others and from the platform
        for (std::size_t other = 0; other < domains; ++other) {
            if (other != domain) {
                cut_domains(it, domain, other);
            }
        }
        it.cut_from_platform.insert(domain);
        break;
    case 8:
        it.platform_unavailable = !it.platform_unavailable;
        break;
    case 9:
        it.loss_probability = it.loss_probability > 0 ? 0 : 0.2;
        break;
    default:
        it.publish();
    }
}

void heal(fleet& it) {
    it.cut_domains.clear();
    it.cut_vms.clear();
    it.cut_from_platform.clear();
    it.platform_unavailable = false;
    it.loss_probability = 0;
}

/// Runs one random schedule of faults; returns the first failure or an empty string.
std::string run_schedule(std::uint64_t seed, int& healed_after) {
    std::mt19937_64 rng{seed};
    // Most fleets are small, to limit the duration of a test run.
    const auto nodes = 5 + rng() % (rng() % 16 == 0 ? 36 : 4);
    const auto domains = 2 + rng() % 3;
    fleet it{seed, nodes, domains};
    it.platform_unavailable = it.rng() % 4 == 0;
    for (std::size_t n = 0; n < it.vms.size(); ++n) {
        it.start(n);
    }
    it.publish();
    for (int second = 0; second < fault_seconds; ++second) {
        it.run(milliseconds{it.rng() % 1000});
        inject_fault(it, domains);
        it.run(seconds{1} - (it.now - time_point{}) % seconds{1});
        if (auto found = it.violation(); !found.empty()) {
            return found;
        }
    }
    heal(it);
    for (int second = 0; second < heal_seconds; ++second) {
        it.run(seconds{1});
        if (auto found = it.violation(); !found.empty()) {
            return found;
        }
        if (it.divergence().empty()) {
            healed_after = second + 1;
            return "";
        }
    }
    return "not converged " + std::to_string(heal_seconds) + " s after healing: " + it.divergence();
}

} // namespace

// Guards against member entries or configurations that regress, nodes that don't converge after faults have
// been healed, and control traffic above its budget.
TEST_CASE("nodes converge after random faults, and no entry or configuration regresses",
          "[sharing][random]") {
    const auto first = first_seed(1);
    std::cout << "schedules from BAOBABSWITCH_SEED=" << first << '\n';
    // Schedules share no state and run in parallel. Catch assertions are not thread-safe and run afterwards.
    std::vector<std::string> found(schedule_count);
    std::vector<int> healed(schedule_count);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < thread_count; ++n) {
        threads.emplace_back([&, n] {
            for (auto it = n; it < schedule_count; it += thread_count) {
                found.at(it) = run_schedule(first + it, healed.at(it));
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    for (std::size_t n = 0; n < schedule_count; ++n) {
        INFO("BAOBABSWITCH_SEED=" << first + n);
        CHECK(found.at(n) == "");
    }
    std::sort(healed.begin(), healed.end());
    std::cout << "seconds to convergence after healing: median " << healed.at(healed.size() / 2) << ", 99% "
              << healed.at(healed.size() * 99 / 100) << ", greatest " << healed.back() << '\n';
}
