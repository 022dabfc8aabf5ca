#include "soak.h"

#include "soakrun.h"
#include "standinformats.h"
#include "storesync.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace baobabswitch {

namespace {

constexpr milliseconds heartbeat{500};
constexpr milliseconds send_interval{25}; ///< between requests of one VM's callers
constexpr milliseconds probe_interval{300};
constexpr milliseconds exit_poll_interval{20};
constexpr milliseconds request_deadline{1500};
constexpr milliseconds probe_deadline{1000};
constexpr milliseconds route_timeout{800};
constexpr milliseconds latency_objective{400};
constexpr std::size_t target_connections = 200;
/// Time limits that the run checks, in seconds; the values used in production. The settings files of the
/// nodes don't contain them.
constexpr double config_apply_s = 2;
constexpr double recovery_s = 15;
/// Maximum time for a killed process to exit.
constexpr double kill_timeout_s = 5;
/// Last part of the run, in which every request must succeed.
constexpr double recovery_check_s = 3;

/// Entries of VMs that were lost before the run, and the number of the first one's host.
constexpr unsigned lost_vms = 6;
constexpr unsigned first_lost_host = 200;

/// Ports of a VM, as offsets from soak_first_port.
constexpr unsigned port_inbound = 0;
constexpr unsigned port_target = 1;
constexpr unsigned port_ready = 2;
constexpr unsigned port_outbound = 4;
constexpr unsigned port_control = 6;
constexpr unsigned port_metrics = 8;
constexpr unsigned port_behind_proxy = 11; ///< the target's own listening port
constexpr unsigned port_store = 12;        ///< the proxy's port for the store

endpoint port_of(const std::string& host, unsigned n) {
    return {host, static_cast<std::uint16_t>(soak_first_port + n)};
}

} // namespace

std::string soak_host(std::uint64_t seed, unsigned n) {
    return "127.88." + std::to_string(seed % 250 + 1) + "." + std::to_string(n);
}

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

result<void> soak_run::set_up() {
    std::error_code ec;
    std::filesystem::create_directories(options_.folder, ec);
    if (ec) {
        return error{error_kind::bad_settings, "can't create the folder " + options_.folder,
                     "choose another folder with --folder"};
    }
    auto store =
        metadata_standin::create(loop_, {soak_host(options_.seed, soak_store_host), soak_first_port});
    if (!store) {
        return store.error();
    }
    store_ = std::move(store.value());
    publish();
    write_lost_entries();
    std::vector<forwarding> pairs;
    for (unsigned n = 0; n < options_.vms; ++n) {
        const auto host = soak_host(options_.seed, n + 1);
        pairs.push_back({port_of(host, port_target), port_of(host, port_behind_proxy)});
        pairs.push_back(
            {port_of(host, port_store), {soak_host(options_.seed, soak_store_host), soak_first_port}});
    }
    auto proxy = fault_proxy::create(loop_, pairs, options_.seed);
    if (!proxy) {
        return proxy.error();
    }
    proxy_ = std::move(proxy.value());
    for (unsigned n = 0; n < options_.vms; ++n) {
        BOOST_OUTCOME_TRYV(add_vm(n));
    }
    return success();
}

void soak_run::write_lost_entries() {
    for (unsigned n = 0; n < lost_vms; ++n) {
        target_entry it;
        it.peer = port_of(soak_host(options_.seed, first_lost_host + n), port_inbound);
        it.service = n % 2 == 0 ? "front" : "back";
        it.domain = n / 2 % 2 == 0 ? "east" : "west";
        it.instance = "lost-" + std::to_string(n);
        it.slots = 8;
        it.accepting = true;
        it.started_ms = 1;
        store_->put(port_.target_kind, it.instance, encode_entry(it));
    }
}

result<void> soak_run::add_vm(unsigned n) {
    auto it = std::make_unique<soak_vm>();
    const auto host = soak_host(options_.seed, n + 1);
    it->name = "vm-" + std::to_string(n);
    it->settings_file = options_.folder + "/" + it->name + ".json";
    it->log_file = options_.folder + "/" + it->name + ".log";
    auto& settings = it->settings;
    settings.node = it->name;
    settings.service = n % 2 == 0 ? "front" : "back";
    settings.domain = n / 2 % 2 == 0 ? "east" : "west";
    settings.target = port_of(host, port_target);
    settings.listen = {port_of(host, port_inbound), port_of(host, port_outbound), port_of(host, port_ready),
                       port_of(host, port_control), port_of(host, port_metrics)};
    settings.store = port_of(host, port_store);
    settings.first_start = true;
    settings.retries = {0.2, 49, std::chrono::seconds{10}};
    settings.stop_time = soak_stop_time;
    auto& target = it->target;
    target.address = settings.target;
    target.listen = port_of(host, port_behind_proxy);
    target.control = settings.listen.control;
    target.outbound = settings.listen.outbound;
    target.service = settings.service;
    target.domain = settings.domain;
    BOOST_OUTCOME_TRYV(open_target(context_, target));
    start_target(target);
    start_node(*it);
    if (it->node == 0) {
        return error{error_kind::internal, "the node program could not be started",
                     "set the path of the program with --node-program"};
    }
    vms_.push_back(std::move(it));
    return success();
}

void soak_run::start_node(soak_vm& it) {
    it.settings.first_start = it.starts == 0;
    std::ofstream{it.settings_file} << platform::encode_settings(it.settings);
    const auto started = start_process({options_.node_program, "--settings", it.settings_file}, it.log_file,
                                       parent_death_policy::kill_child);
    if (!started) {
        ledger_.violations.push_back(describe(started.error()));
        return;
    }
    it.node = started.value();
    ++it.starts;
    it.exit_expected = false;
    it.paused = false;
    it.applied_version = 0;
    record_disruption(it, boot_clock::now());
}

void soak_run::record_disruption(soak_vm& it, boot_time_point until) {
    it.undisrupted_since = std::max(it.undisrupted_since, until);
}

void soak_run::signal_node(soak_vm& it, int signal) {
    if (it.node != 0) {
        ::kill(it.node, signal);
        record_disruption(it, boot_clock::now());
    }
}

/// Restarts exited nodes after a random delay and reports unexpected exits.
void soak_run::restart_exited_nodes() {
    for (const auto& vm : vms_) {
        auto& it = *vm;
        if (it.node == 0) {
            continue;
        }
        const int status = wait_for_exit(it.node, 0);
        if (status < 0) {
            continue;
        }
        if (!it.exit_expected) {
            ledger_.violations.push_back("node " + it.name + " exited unexpectedly with status " +
                                         std::to_string(status));
        }
        it.node = 0;
        loop_.schedule(random_delay(50, 600), [this, &it] { start_node(it); });
    }
}

void soak_run::apply_temporary_rule(const std::string& name, const fault_rule& rule, milliseconds time) {
    rules_[name] = rule;
    apply_rules();
    loop_.schedule(time, [this, name] {
        rules_.erase(name);
        apply_rules();
    });
}

void soak_run::apply_rules() {
    std::vector<fault_rule> rules;
    for (const auto& [name, rule] : rules_) {
        rules.push_back(rule);
    }
    proxy_->set_rules(std::move(rules));
}

/// Publishes the next configuration version. Each version has a route that no other version has, so that
/// probes can tell which version is in force.
void soak_run::publish() {
    version_ += 1 + random_() % 3;
    const auto add = [](mesh_config& config, const std::string& prefix, repeatability repeat,
                        const char* service) {
        route it;
        it.name = "r" + prefix;
        it.host = soak_caller_host;
        it.path_prefix = prefix;
        it.repeat = repeat;
        it.timeout = route_timeout;
        it.latency_objective = latency_objective;
        it.rank = 1;
        it.max_targets = max_executions;
        it.parts = {{service, 1}};
        config.routes.push_back(std::move(it));
    };
    mesh_config config;
    config.version = version_;
    add(config, "/read/", repeatability::idempotent, "front");
    add(config, "/write/", repeatability::at_most_once, "front");
    add(config, "/back/", repeatability::idempotent, "back");
    add(config, "/x" + std::to_string(version_) + "/", repeatability::idempotent, "back");
    config.services = {{"front", std::string{soak_health_path}, target_connections},
                       {"back", std::string{soak_health_path}, target_connections}};
    store_->put(port_.config_kind, port_.config_name, platform::encode_configuration(config));
    published_at_ = boot_clock::now();
}

void soak_run::send_requests() {
    for (const auto& it : vms_) {
        for (unsigned n = 0; n < requests_per_interval_; ++n) {
            send_request(*it);
        }
    }
}

void soak_run::send_request(soak_vm& it) {
    const bool write = uniform() < 0.4;
    const auto id = "q" + std::to_string(++last_request_);
    http_request request;
    request.method = write ? "POST" : "GET";
    request.target = write ? "/write/x" : "/read/x";
    request.headers = caller_headers(port_, id, request_deadline);
    record_sent(ledger_, id, !write, boot_clock::now());
    client_.send(it.settings.listen.outbound, std::move(request), request_deadline,
                 [this, id, after_recovery = checking_recovery_, name = it.name](const http_result& result) {
                     const auto* answer = std::get_if<http_response>(&result);
                     const unsigned status = answer == nullptr ? 0 : answer->status;
                     if (answer != nullptr) {
                         record_answer(
                             ledger_, id, status,
                             std::string{header_or_empty(answer->headers, port_.headers.request_id)});
                     }
                     // Every version has this route, so no answer may reject the request as invalid or
                     // unroutable.
                     if (status >= 300 && status < 500 && !guarantees_not_executed(status)) {
                         ledger_.violations.push_back("request " + id + " at " + name +
                                                      ": rejected with status " + std::to_string(status));
                     }
                     if (after_recovery) {
                         check_recovery(id, name, status);
                     }
                 });
}

/// Checks that a request sent after the recovery time succeeded. It must, because the recovery time is longer
/// than any injected fault lasts, and the load is low.
void soak_run::check_recovery(const std::string& id, const std::string& vm, unsigned status) {
    ++recovery_checks_;
    if (status != 200) {
        ledger_.violations.push_back("request " + id + " at " + vm + ": answered " + std::to_string(status) +
                                     " although it was sent more than 15 s after the last fault injection");
    }
}

/// Sends a request for the route that only the newest version has.
void soak_run::probe(soak_vm& it) {
    const auto id = "p" + std::to_string(++last_request_);
    http_request request;
    request.target = "/x" + std::to_string(version_) + "/";
    request.headers = caller_headers(port_, id, probe_deadline);
    record_sent(ledger_, id, true, boot_clock::now());
    client_.send(it.settings.listen.outbound, std::move(request), probe_deadline,
                 [this, &it, id, start = it.starts, version = version_](const http_result& result) {
                     if (const auto* answer = std::get_if<http_response>(&result)) {
                         check_probe(it, start, version, answer->status);
                     }
                 });
}

void soak_run::check_probe(soak_vm& it, unsigned start, std::uint64_t version, unsigned status) {
    if (start != it.starts || version != version_ || status == 503) {
        return; // The node was restarted, a newer version exists, or the request was refused, for example
                // because the node has no configuration.
    }
    if (status != 404) {
        it.applied_version = version;
        return;
    }
    if (it.applied_version == version) {
        ledger_.violations.push_back("node " + it.name + ": version " + std::to_string(version) +
                                     " is no longer in force");
    }
    const auto now = boot_clock::now();
    const auto bound = from_ms(config_apply_s * 1000);
    const bool store_healthy = !store_fault_active_ && now - store_healthy_since_ > bound;
    if (store_healthy && now - published_at_ > bound && now - it.undisrupted_since > bound) {
        ledger_.violations.push_back("node " + it.name + ": version " + std::to_string(version) +
                                     " is not in force " + std::to_string(to_ms(now - published_at_)) +
                                     " ms after it was published");
    }
}

void soak_run::end_faults() {
    faults_ended_ = true;
    requests_per_interval_ = 1;
}

void soak_run::read_logs() {
    for (const auto& it : vms_) {
        std::ifstream in{it->log_file};
        for (std::string line; std::getline(in, line);) {
            if (line.find("invariant-violated") != std::string::npos) {
                ledger_.violations.push_back(it->name + ": " + line);
            }
        }
    }
}

soak_report soak_run::run() {
    const auto at = [this](double seconds, std::function<void()> fn) {
        loop_.schedule(from_seconds(seconds), std::move(fn));
    };
    store_healthy_since_ = boot_clock::now();
    for (const auto& it : vms_) {
        loop_.schedule_every(heartbeat, [this, vm = it.get()] { announce_target(context_, vm->target); });
        loop_.schedule_every(probe_interval, [this, vm = it.get()] { probe(*vm); });
    }
    loop_.schedule_every(send_interval, [this] { send_requests(); });
    loop_.schedule_every(exit_poll_interval, [this] { restart_exited_nodes(); });
    at(2, [this] { inject(); });
    at(options_.seconds - recovery_s - recovery_check_s, [this] { end_faults(); });
    at(options_.seconds - recovery_check_s, [this] { checking_recovery_ = true; });
    at(options_.seconds, [this] { loop_.stop(); });
    loop_.run();
    for (const auto& it : vms_) {
        kill_node(*it);
        if (it->node != 0) {
            (void)wait_for_exit(it->node, kill_timeout_s);
        }
    }
    read_logs();
    if (recovery_checks_ == 0) {
        ledger_.violations.emplace_back("no request that was sent after the recovery time was completed");
    }
    soak_report report;
    report.sent = last_request_;
    report.served = ledger_.served;
    report.refused = ledger_.refused;
    report.failed = ledger_.failed;
    report.store_calls = store_->calls();
    report.faults = std::move(faults_);
    report.violations = std::move(ledger_.violations);
    return report;
}

result<soak_report> run_soak(const soak_options& options) {
    if (options.vms < 4 || options.vms > 200 || options.seconds < recovery_s + recovery_check_s + 2) {
        return error{error_kind::bad_settings, "the number of VMs or the duration of the run is out of range",
                     "use 4 to 200 VMs and at least 20 seconds"};
    }
    // Ignore SIGPIPE: writing to a connection that a node has closed returns an error.
    (void)std::signal(SIGPIPE, SIG_IGN);
    soak_run it{options};
    BOOST_OUTCOME_TRYV(it.set_up());
    return it.run();
}

} // namespace baobabswitch
