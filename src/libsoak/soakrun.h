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

/// First port on the address of each VM; also the port of the store.
constexpr std::uint16_t soak_first_port = 18400;
/// Last octet of the store's address.
constexpr unsigned soak_store_host = 250;
/// Time between SIGTERM and SIGKILL, as stated in the nodes' settings; the value used in production.
constexpr std::chrono::seconds soak_stop_time{6};

/// Returns the IPv4 address of a VM or of the store. The third octet depends on the seed; `n` is the last
/// octet: the number of the VM, counted from 1, or `soak_store_host`.
std::string soak_host(std::uint64_t seed, unsigned n);
duration from_seconds(double seconds);

/// A VM: a node, which is a child process, and its simulated target.
struct soak_vm {
    std::string name;
    std::string settings_file;
    std::string log_file;
    mesh_settings settings;
    pid_t node = 0;             ///< process ID of the node; 0: not running
    unsigned starts = 0;        ///< number of starts of the node
    bool exit_expected = false; ///< the node received SIGTERM or SIGKILL
    bool paused = false;
    boot_time_point undisrupted_since{}; ///< end of the last disruption of the node or its store link
    std::uint64_t applied_version = 0;   ///< newest version seen in force since the node's start
    soak_target target;
};

/// A soak run: setup, load and checks are in soak.cpp, fault injection in soakfaults.cpp.
class soak_run {
public:
    explicit soak_run(soak_options options)
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
    milliseconds random_delay(int min, int max) {
        return milliseconds{std::uniform_int_distribution<int>{min, max}(random_)};
    }
    soak_vm& random_vm() {
        return *vms_[std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random_)];
    }
    /// Stores entries of VMs that are gone for good; nobody removes them.
    void write_lost_entries();
    result<void> add_vm(unsigned n);
    void start_node(soak_vm& it);
    void record_disruption(soak_vm& it, boot_time_point until);
    void signal_node(soak_vm& it, int signal);
    void restart_exited_nodes();
    /// Applies a proxy rule for the given time. It replaces an active rule of the same name.
    void apply_temporary_rule(const std::string& name, const fault_rule& rule, milliseconds time);
    void apply_rules();
    void publish();
    void send_requests();
    void send_request(soak_vm& it);
    void check_recovery(const std::string& id, const std::string& vm, unsigned status);
    void probe(soak_vm& it);
    void check_probe(soak_vm& it, unsigned start, std::uint64_t version, unsigned status);
    void inject();
    void end_faults();
    void read_logs();

    void kill_node(soak_vm& it);
    void pause_node(soak_vm& it);
    void stop_node(soak_vm& it);
    void reload_node(soak_vm& it);
    void replace_target(soak_vm& it);
    void restart_target(soak_vm& it);
    void inject_target_link_fault(soak_vm& it);
    void slow_target(soak_vm& it);
    void inject_store_fault(soak_vm& it);
    void disconnect_store(soak_vm& it);
    void forget_history(soak_vm& it);
    void write_odd_entry(soak_vm& it);
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
    std::map<std::string, fault_rule> rules_; ///< active rules by the name of the affected link
    std::vector<std::unique_ptr<soak_vm>> vms_;
    std::map<std::string, unsigned> faults_;
    std::uint64_t last_request_ = 0;
    std::uint64_t version_ = 0;
    boot_time_point published_at_{};
    boot_time_point store_healthy_since_{};
    bool store_fault_active_ = false;
    unsigned requests_per_interval_ = 1;
    bool faults_ended_ = false;      ///< no more faults are injected
    bool checking_recovery_ = false; ///< requests sent from now on must succeed
    std::uint64_t recovery_checks_ = 0;
};

} // namespace baobabswitch
