#include "soakrun.h"

#include <array>
#include <csignal>

namespace baobabswitch {

namespace {

constexpr unsigned burst_factor = 6;
/// Multiplies the service time of a slowed target.
constexpr int slow_factor = 8;

/// Time allowed for the system to load a program on a busy machine.
constexpr milliseconds process_start_time{300};
/// Maximum delay of a slowed link: delay plus jitter, plus the time for queued bytes.
constexpr milliseconds max_link_delay{300};

/// Returns a rule without faults for the connections from a source prefix to an address.
fault_rule rule_for(const std::string& source, const endpoint& destination) {
    fault_rule it;
    it.source = parse_prefix(source).value();
    it.destination = parse_prefix(destination.host).value();
    it.port = destination.port;
    return it;
}

const std::string any_source = "0.0.0.0/0";

} // namespace

void soak_run::kill_node(soak_vm& it) {
    it.exit_expected = true;
    signal_node(it, SIGKILL);
}

void soak_run::pause_node(soak_vm& it) {
    if (it.paused) {
        return;
    }
    it.paused = true;
    signal_node(it, SIGSTOP);
    loop_.schedule(random_delay(100, 3000), [this, &it, start = it.starts] {
        if (start == it.starts) {
            it.paused = false;
            signal_node(it, SIGCONT);
        }
    });
}

void soak_run::stop_node(soak_vm& it) {
    if (it.paused || it.exit_expected) {
        return;
    }
    it.exit_expected = true;
    signal_node(it, SIGTERM);
    loop_.schedule(soak_stop_time, [this, &it, start = it.starts] {
        if (start == it.starts && it.node != 0 && !it.paused) {
            ledger_.violations.push_back("node " + it.name + ": did not exit within 6 s after SIGTERM");
            signal_node(it, SIGKILL);
        }
    });
}

void soak_run::reload_node(soak_vm& it) {
    // A process that is still being loaded can't ignore SIGHUP yet and would be terminated by it.
    if (boot_clock::now() - it.undisrupted_since > process_start_time) {
        signal_node(it, SIGHUP);
    }
}

/// Replaces a target in an orderly way: it announces that it leaves, continues to serve for a while, exits,
/// and a new incarnation starts in its place.
void soak_run::replace_target(soak_vm& it) {
    auto& target = it.target;
    if (!target.up || target.leaving) {
        return;
    }
    target.leaving = true;
    announce_target(context_, target);
    loop_.schedule(random_delay(3000, 5000), [this, &it, instance = target.instance] {
        if (it.target.instance == instance) {
            restart_target(it);
        }
    });
}

void soak_run::restart_target(soak_vm& it) {
    if (!it.target.up) {
        return;
    }
    crash_target(it.target);
    const auto down = random_delay(50, 800);
    auto rule = rule_for(any_source, it.target.listen);
    rule.cut = true;
    apply_temporary_rule("target " + it.name, rule, down);
    loop_.schedule(down + milliseconds{1}, [this, &it] {
        start_target(it.target);
        announce_target(context_, it.target);
    });
}

/// Closes connections, truncates, corrupts or repeats answers, replaces them by bytes without end, or drops
/// or delays bytes between a target and its node.
void soak_run::inject_target_link_fault(soak_vm& it) {
    auto rule = rule_for(any_source, it.target.listen);
    switch (random_() % 8) {
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
    case 5:
        rule.endless_answer = 0.3;
        break;
    case 6:
        rule.repeat_answer = 0.3;
        break;
    default:
        rule.delay_ms = 40;
        rule.jitter_ms = 100;
        break;
    }
    const auto time = random_delay(500, 2500);
    if (rule.delay_ms > 0) {
        it.target.link_delayed_until = boot_clock::now() + time + max_link_delay;
    }
    apply_temporary_rule("target " + it.name, rule, time);
}

void soak_run::slow_target(soak_vm& it) {
    it.target.service_time = default_service_time * slow_factor;
    loop_.schedule(random_delay(500, 2500), [&it] { it.target.service_time = default_service_time; });
}

void soak_run::inject_store_fault(soak_vm& /*it*/) {
    if (store_fault_active_) {
        return;
    }
    constexpr std::array faults{metadata_fault::busy, metadata_fault::silent, metadata_fault::slow,
                                metadata_fault::lost_responses};
    store_fault_active_ = true;
    store_->set_fault(faults.at(random_() % faults.size()));
    loop_.schedule(random_delay(500, 4000), [this] {
        store_->set_fault(metadata_fault::none);
        store_fault_active_ = false;
        store_healthy_since_ = boot_clock::now();
    });
}

/// Disconnects one VM from the store, or drops the bytes in one direction.
void soak_run::disconnect_store(soak_vm& it) {
    auto rule = rule_for(it.settings.listen.outbound.host,
                         {soak_host(options_.seed, soak_store_host), soak_first_port});
    const auto kind = random_() % 3;
    rule.cut = kind == 0;
    rule.lose_to = kind == 1;
    rule.lose_back = kind == 2;
    const auto time = random_delay(500, 4000);
    record_disruption(it, boot_clock::now() + time);
    apply_temporary_rule("store " + it.name, rule, time);
}

/// Writes an entry that names no target, as another program might, under a name of its own or that of a node.
void soak_run::write_odd_entry(soak_vm& it) {
    const std::array<std::string, 6> contents{std::string(100'000, '[') + std::string(100'000, ']'),
                                              R"({"slots":1e400})",
                                              R"({"peer":"127.0.0.1:70000"})",
                                              R"("text")",
                                              "null",
                                              "[]"};
    const auto name = random_() % 2 == 0 ? it.name : "foreign-" + std::to_string(random_() % 4);
    store_->put(port_.target_kind, name, contents.at(random_() % contents.size()));
}

void soak_run::forget_history(soak_vm& /*it*/) {
    store_->discard_history();
}

void soak_run::burst(soak_vm& /*it*/) {
    requests_per_interval_ = burst_factor;
    loop_.schedule(random_delay(300, 1500), [this] { requests_per_interval_ = 1; });
}

void soak_run::change_config(soak_vm& /*it*/) {
    publish();
}

void soak_run::inject() {
    if (faults_ended_) {
        return;
    }
    struct fault_kind {
        const char* name;
        void (soak_run::*inject)(soak_vm&);
    };
    static constexpr std::array<fault_kind, 14> kinds{
        {{"node killed", &soak_run::kill_node},
         {"node paused", &soak_run::pause_node},
         {"node stopped", &soak_run::stop_node},
         {"node reloaded", &soak_run::reload_node},
         {"target replaced", &soak_run::replace_target},
         {"target crashed", &soak_run::restart_target},
         {"target disturbed", &soak_run::inject_target_link_fault},
         {"target slowed", &soak_run::slow_target},
         {"store disturbed", &soak_run::inject_store_fault},
         {"store cut off", &soak_run::disconnect_store},
         {"history forgotten", &soak_run::forget_history},
         {"odd entry", &soak_run::write_odd_entry},
         {"burst", &soak_run::burst},
         {"configuration changed", &soak_run::change_config}}};
    const auto& kind = kinds.at(random_() % kinds.size());
    ++faults_[kind.name];
    (this->*kind.inject)(random_vm());
    loop_.schedule(random_delay(100, 1200), [this] { inject(); });
}

} // namespace baobabswitch
