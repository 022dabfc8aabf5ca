#pragma once

#include "errors.h"
#include "executions.h"
#include "httpmessage.h"
#include "workload.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace baobabswitch {

/// One VM of a deployment, which runs a node and a target.
struct deployed_vm {
    std::string node_id;
    std::string domain;
    std::string service;
    endpoint listen;
    endpoint admin;
    endpoint target;
    endpoint advertise;        ///< address at which other nodes reach the node: its own or the proxy's
    endpoint target_advertise; ///< address at which the node reaches its target
    pid_t node_pid = 0;
    pid_t target_pid = 0;
};

struct deployment_options {
    std::string binaries; ///< directory that contains the programs
    std::string workload_file;
    std::string policy = "baobabswitch";
    double scale = 10; ///< divisor of the slots and connections of each VM
    /// Routes traffic between nodes, to targets and to the platform through fault-proxy, which adds the
    /// workload's latency between domains.
    bool proxied = false;
    bool platform = false;  ///< starts standin-platform, which stores the configuration document
    int servers = 0;        ///< VMs per service; 0: as in the workload file
    std::uint64_t seed = 1; ///< seed of the random faults
};

/// Runs the services of a workload as processes on addresses in 127.0.0.0/8. The destructor stops them.
class deployment {
public:
    /// Starts all processes and waits until every node reports all targets as up. Fails with internal, with
    /// bad_settings if a domain has too many VMs, and as load_workload() does.
    static result<std::unique_ptr<deployment>> start(deployment_options options);

    explicit deployment(deployment_options options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    const std::vector<deployed_vm>& vms() const;
    /// Returns the workload, scaled down and with the number of servers that the options set.
    const workload& load() const;

    /// Sends a signal to a VM's node or target.
    void signal_node(std::size_t vm, int signal);
    void signal_target(std::size_t vm, int signal);
    /// Starts the node or target of a VM, which must not be running.
    result<void> restart_node(std::size_t vm);
    result<void> restart_target(std::size_t vm);
    /// Waits until a node or target has exited and returns its exit status, or -1 after the timeout.
    int wait_for_node(std::size_t vm, double seconds);
    int wait_for_target(std::size_t vm, double seconds);
    /// Waits until the node of a VM reports its own target as up.
    bool wait_until_up(std::size_t vm, double seconds) const;
    /// Sets fault switches of a VM's target (targetswitches.h). Returns whether the target accepted them.
    bool control_target(std::size_t vm, const std::string& json) const;
    /// Returns the indices of the VMs of a service.
    std::vector<std::size_t> vms_of(const std::string& service) const;

    /// Replaces the rules of the proxy (src/libfaultproxy/rules.h) but keeps the latency between domains.
    /// Returns whether the proxy accepted them. Needs options.proxied.
    bool set_faults(const nlohmann::json& rules) const;
    /// Returns how often the proxy injected each fault. Needs options.proxied.
    nlohmann::json fault_counts() const;
    /// Returns the address prefix of a domain's VMs in CIDR notation.
    std::string domain_prefix(const std::string& domain) const;
    /// Returns rules that drop all messages between a domain and the other domains and the platform.
    nlohmann::json partition_rules(const std::string& domain) const;
    /// Sets faults of the stand-in platform. Needs options.platform.
    bool control_platform(const std::string& json) const;
    const endpoint& platform_address() const;
    /// Returns the operators' token that the nodes of a deployment accept.
    static std::string operator_credential();
    /// Reads the configuration document through a node, changes it and writes it back on condition that its
    /// version is unchanged. Returns the HTTP status of the write (0: no answer) and the accepted version (0:
    /// none). Needs options.platform.
    std::pair<int, std::uint64_t> change_config(std::size_t vm, const std::string& author,
                                                const std::function<void(nlohmann::json&)>& change) const;
    /// Returns the version of the document that a node applies, or 0 if the node doesn't answer.
    std::uint64_t config_version(std::size_t vm) const;

    /// Returns the executions of all targets since the start, including targets that have exited.
    execution_table executions() const;
    /// Returns the number of invariant violations in the logs of all nodes, including nodes that have exited.
    std::uint64_t logged_violations() const;

private:
    result<void> start_processes();
    result<void> start_proxy();
    result<void> start_platform();
    nlohmann::json domain_latencies() const;
    result<void> wait_until_ready();
    std::string executions_file(const deployed_vm& vm) const;
    std::string log_file(const deployed_vm& vm) const;

    deployment_options options_;
    workload load_;
    std::vector<deployed_vm> vms_;
    std::string folder_;         ///< directory of the settings, logs and execution records
    std::string address_prefix_; ///< first three bytes of all addresses, with a trailing dot
    endpoint proxy_control_;
    endpoint platform_;           ///< listen address of the platform
    endpoint platform_advertise_; ///< address at which nodes reach the platform
    pid_t proxy_pid_ = 0;
    pid_t platform_pid_ = 0;
};

} // namespace baobabswitch
