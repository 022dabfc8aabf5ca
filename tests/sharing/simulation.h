#pragma once

#include "memorystore.h"
#include "sharing.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace baobabswitch::simulation {

/// A simulated VM. A replacement keeps its index and address.
struct vm {
    sharing_state state;
    bool running = false;
    bool announced = false; ///< its target announced itself
    time_point paused_until;
    time_point started_at;
    unsigned run_id = 0; ///< incremented on start, replacement and stop; events of an earlier run are dropped
    std::size_t domain = 0;
    member_table last_members; ///< member table at the last check, to detect entries that regress
    std::uint64_t last_config_version = 0;
    std::uint64_t config_answer_bytes = 0;
};

/// Discrete-event simulation of a fleet: state machines, a network with fault injection, and a platform.
class fleet {
public:
    fleet(std::uint64_t seed, std::size_t nodes, std::size_t domains);

    void start(std::size_t n);
    void stop(std::size_t n);
    /// Replaces a VM at the same address; its node keeps its id or gets a new one.
    void replace(std::size_t n, bool new_id);
    void pause(std::size_t n, duration time);
    void set_state(std::size_t n, target_state state);
    std::uint64_t publish();
    /// Fills all member tables without exchanging messages, for measurements of a large fleet.
    void prefill();
    void run(duration time);

    /// Returns the first difference between the nodes' member tables and configurations and the actual state,
    /// or an empty string if they have converged.
    std::string divergence() const;
    /// Checks the invariants that must always hold; returns the first violation or an empty string.
    std::string violation();

    std::vector<std::unique_ptr<vm>> vms;
    std::mt19937_64 rng;
    time_point now;
    invariant_table invariants;
    memory_store store;
    bool platform_unavailable = false;
    std::uint64_t published = 0;
    double loss_probability = 0;
    std::set<std::pair<std::size_t, std::size_t>> cut_domains; ///< (from, to)
    std::set<std::pair<std::size_t, std::size_t>> cut_vms;     ///< (from, to)
    std::set<std::size_t> cut_from_platform;                   ///< domains

private:
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(duration delay, std::function<void()> fn);
    /// Runs a function on the VM after the delay unless the run has ended; deferred while the VM is paused.
    void schedule_on_vm(std::size_t n, unsigned run_id, duration delay, std::function<void(vm&)> fn);
    void round(std::size_t n, unsigned run_id);
    void execute(std::size_t n, sharing_effects effects);
    /// Delivers a message and its answer; `failed` runs on the timeout if one of them is lost or late.
    void exchange(std::size_t from, const endpoint& to,
                  std::function<std::optional<std::string>(std::size_t)> handle,
                  std::function<void(vm&, const std::string&)> answered, std::function<void(vm&)> failed);
    void poll(std::size_t n, unsigned run_id, config_poll_call call, time_point until);
    bool delivers(std::size_t from, std::size_t to);
    duration delay();
    member own_entry(std::size_t n, const std::string& id) const;

    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::uint64_t incarnation_ = 1'700'000'000'000;
    std::size_t domains_;
};

} // namespace baobabswitch::simulation
