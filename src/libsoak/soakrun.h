#pragma once

#include "metadatastandin.h"
#include "port.h"
#include "process.h"
#include "proxy.h"
#include "soak.h"
#include "soaktarget.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace baobabswitch {

/// First port on each VM's address, also the store's.
constexpr std::uint16_t soak_first_port = 18400;
/// Last part of the store's address.
constexpr unsigned soak_store_host = 250;
/// Time from SIGTERM to SIGKILL that the settings state; the value of the users' sites.
constexpr std::chrono::seconds soak_stop_time{6};

/// Returns the address of a VM, counted from 1, or of the store.
std::string soak_host(std::uint64_t seed, unsigned n);
duration seconds_span(double seconds);

/// A VM: a node as a process of its own, and its target.
struct soak_vm {
    std::string name;
    std::string settings_file;
    std::string log_file;
    mesh_settings settings;
    pid_t node = 0;      ///< 0: not running
    unsigned starts = 0; ///< of the node
    bool ending = false; ///< it got a signal that ends it
    bool paused = false;
    boot_time_point undisturbed_since{}; ///< node neither started, paused nor stopped since
    std::uint64_t version_seen = 0;      ///< newest configuration seen in force in this start of the node
    soak_target target;
};

/// A run: what it consists of, its course (soak.cpp) and its faults (soakfaults.cpp).
class soak {
public:
    explicit soak(soak_options options)
        : options_(std::move(options)),
          random_(options_.seed),
          client_(loop_, client_options()),
          context_{loop_, client_, ledger_, port_} {}

    result<void> set_up();
    soak_report run();

private:
    static http_client_options client_options() {
        http_client_options it;
        it.max_connections_per_endpoint = 512;
        it.max_connecting_per_endpoint = 64;
        return it;
    }

    double uniform() {
        return std::uniform_real_distribution<double>{0, 1}(random_);
    }
    milliseconds between(int least, int most) {
        return milliseconds{std::uniform_int_distribution<int>{least, most}(random_)};
    }
    soak_vm& any_vm() {
        return *vms_[std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random_)];
    }
    result<void> add_vm(unsigned n);
    void start_node(soak_vm& it);
    void note_disturbance(soak_vm& it, boot_time_point until);
    void signal_node(soak_vm& it, int signal);
    void watch_nodes();
    /// Puts a rule in force for a while; it replaces the one of that name.
    void disturb(const std::string& name, const fault_rule& rule, milliseconds time);
    void apply_rules();
    void publish();
    void send_requests();
    void send_request(soak_vm& it);
    void judge_recovery(const std::string& id, const std::string& vm, unsigned status);
    void probe(soak_vm& it);
    void judge_probe(soak_vm& it, unsigned start, std::uint64_t version, unsigned status);
    void inject();
    void end_faults();
    void read_logs();

    void kill_node(soak_vm& it);
    void pause_node(soak_vm& it);
    void stop_node(soak_vm& it);
    void reload_node(soak_vm& it);
    void replace_target(soak_vm& it);
    void restart_target(soak_vm& it);
    void disturb_target(soak_vm& it);
    void slow_target(soak_vm& it);
    void disturb_store(soak_vm& it);
    void cut_store(soak_vm& it);
    void forget_history(soak_vm& it);
    void burst(soak_vm& it);
    void change_config(soak_vm& it);

    soak_options options_;
    std::mt19937_64 random_;
    event_loop loop_;
    http_client client_;
    soak_ledger ledger_;
    platform_port port_ = platform::make_port();
    target_context context_;
    std::unique_ptr<metadata_standin> store_;
    std::unique_ptr<fault_proxy> proxy_;
    std::map<std::string, fault_rule> rules_; ///< in force, by the name of what they disturb
    std::vector<std::unique_ptr<soak_vm>> vms_;
    std::map<std::string, unsigned> faults_;
    std::uint64_t last_request_ = 0;
    std::uint64_t version_ = 0;
    boot_time_point published_at_{};
    boot_time_point store_well_since_{};
    bool store_disturbed_ = false;
    unsigned load_ = 1;
    bool quiet_ = false;   ///< faults are over
    bool verdict_ = false; ///< requests sent now show whether all has recovered
    std::uint64_t judged_ = 0;
};

} // namespace baobabswitch
