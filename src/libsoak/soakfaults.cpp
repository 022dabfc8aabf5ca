#include "soakrun.h"

#include <array>
#include <csignal>

namespace baobabswitch {

namespace {

constexpr unsigned burst_factor = 6;
/// Factor by which a slowed target's work takes longer.
constexpr int slow_factor = 8;

/// Time in which the system loads a program, on a busy machine.
constexpr milliseconds process_start_time{300};
/// Delay and jitter of a slowed link together, and the bytes queued behind.
constexpr milliseconds longest_link_delay{300};

/// Returns a rule without faults for the connections from a source to an address.
fault_rule rule_for(const std::string& source, const endpoint& destination) {
    fault_rule it;
    it.source = parse_prefix(source).value();
    it.destination = parse_prefix(destination.host).value();
    it.port = destination.port;
    return it;
}

const std::string any_source = "0.0.0.0/0";

} // namespace

void soak::kill_node(soak_vm& it) {
    it.ending = true;
    signal_node(it, SIGKILL);
}

void soak::pause_node(soak_vm& it) {
    if (it.paused) {
        return;
    }
    it.paused = true;
    signal_node(it, SIGSTOP);
    loop_.schedule(between(100, 3000), [this, &it, start = it.starts] {
        if (start == it.starts) {
            it.paused = false;
            signal_node(it, SIGCONT);
        }
    });
}

void soak::stop_node(soak_vm& it) {
    if (it.paused || it.ending) {
        return;
    }
    it.ending = true;
    signal_node(it, SIGTERM);
    loop_.schedule(soak_stop_time, [this, &it, start = it.starts] {
        if (start == it.starts && it.node != 0 && !it.paused) {
            ledger_.violations.push_back("node " + it.name + ": still there 6 s after SIGTERM");
            signal_node(it, SIGKILL);
        }
    });
}

void soak::reload_node(soak_vm& it) {
    // Before a process runs its first line, no signal can be ignored.
    if (boot_clock::now() - it.undisturbed_since > process_start_time) {
        signal_node(it, SIGHUP);
    }
}

/// The target says that it leaves, goes on for a while, ends, and another one starts in its place.
void soak::replace_target(soak_vm& it) {
    auto& target = it.target;
    if (!target.up || target.leaving) {
        return;
    }
    target.leaving = true;
    announce_target(context_, target);
    loop_.schedule(between(3000, 5000), [this, &it, instance = target.instance] {
        if (it.target.instance == instance) {
            restart_target(it);
        }
    });
}

void soak::restart_target(soak_vm& it) {
    if (!it.target.up) {
        return;
    }
    crash_target(it.target);
    const auto down = between(50, 800);
    auto rule = rule_for(any_source, it.target.listen);
    rule.cut = true;
    disturb("target " + it.name, rule, down);
    loop_.schedule(down + milliseconds{1}, [this, &it] {
        start_target(it.target);
        announce_target(context_, it.target);
    });
}

/// Breaks off, spoils, delays or loses what the target and its node say to each other.
void soak::disturb_target(soak_vm& it) {
    auto rule = rule_for(any_source, it.target.listen);
    switch (random_() % 6) {
    case 0:
        rule.cut_after_request = 0.3;
        break;
    case 1:
        rule.half_answer = 0.3;
        break;
    case 2:
        rule.garbage_answer = 0.3;
        break;
    case 3:
        rule.lose_to = true;
        break;
    case 4:
        rule.lose_back = true;
        break;
    default:
        rule.delay_ms = 40;
        rule.jitter_ms = 100;
        break;
    }
    const auto time = between(500, 2500);
    if (rule.delay_ms > 0) {
        it.target.link_delayed_until = boot_clock::now() + time + longest_link_delay;
    }
    disturb("target " + it.name, rule, time);
}

void soak::slow_target(soak_vm& it) {
    it.target.work = usual_work * slow_factor;
    loop_.schedule(between(500, 2500), [&it] { it.target.work = usual_work; });
}

void soak::disturb_store(soak_vm& /*it*/) {
    if (store_disturbed_) {
        return;
    }
    constexpr std::array faults{store_fault::busy, store_fault::silent, store_fault::slow,
                                store_fault::lost_responses};
    store_disturbed_ = true;
    store_->set_fault(faults.at(random_() % faults.size()));
    loop_.schedule(between(500, 4000), [this] {
        store_->set_fault(store_fault::none);
        store_disturbed_ = false;
        store_well_since_ = boot_clock::now();
    });
}

/// Cuts one VM off from the store, or lets what they say vanish one way.
void soak::cut_store(soak_vm& it) {
    auto rule = rule_for(it.settings.listen.outbound.host,
                         {soak_host(options_.seed, soak_store_host), soak_first_port});
    const auto kind = random_() % 3;
    rule.cut = kind == 0;
    rule.lose_to = kind == 1;
    rule.lose_back = kind == 2;
    const auto time = between(500, 4000);
    note_disturbance(it, boot_clock::now() + time);
    disturb("store " + it.name, rule, time);
}

void soak::forget_history(soak_vm& /*it*/) {
    store_->discard_history();
}

void soak::burst(soak_vm& /*it*/) {
    load_ = burst_factor;
    loop_.schedule(between(300, 1500), [this] { load_ = 1; });
}

void soak::change_config(soak_vm& /*it*/) {
    publish();
}

void soak::inject() {
    if (quiet_) {
        return;
    }
    struct fault_kind {
        const char* name;
        void (soak::*inject)(soak_vm&);
    };
    static constexpr std::array<fault_kind, 13> kinds{{{"node killed", &soak::kill_node},
                                                       {"node paused", &soak::pause_node},
                                                       {"node stopped", &soak::stop_node},
                                                       {"node reloaded", &soak::reload_node},
                                                       {"target replaced", &soak::replace_target},
                                                       {"target crashed", &soak::restart_target},
                                                       {"target disturbed", &soak::disturb_target},
                                                       {"target slowed", &soak::slow_target},
                                                       {"store disturbed", &soak::disturb_store},
                                                       {"store cut off", &soak::cut_store},
                                                       {"history forgotten", &soak::forget_history},
                                                       {"burst", &soak::burst},
                                                       {"configuration changed", &soak::change_config}}};
    const auto& kind = kinds.at(random_() % kinds.size());
    ++faults_[kind.name];
    (this->*kind.inject)(any_vm());
    loop_.schedule(between(100, 1200), [this] { inject(); });
}

} // namespace baobabswitch
