#include "deployment.h"

#include "configstore.h"
#include "mac.h"
#include "process.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include <unistd.h>

namespace baobabswitch {

namespace {

constexpr std::uint16_t call_port = 7400;
constexpr std::uint16_t admin_port = 7401;
constexpr std::uint16_t target_port = 8000;
constexpr double start_seconds = 60;
constexpr double stop_seconds = 10;
constexpr std::chrono::milliseconds poll_period{50};
constexpr auto operator_token = "trial-operator";
constexpr auto message_secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Difference between the last address bytes of the first VMs of consecutive domains. The VMs of a domain
/// share a /27 prefix, which excludes the proxy's addresses for them.
constexpr std::size_t domain_stride = 64;
constexpr std::size_t max_vms_per_domain = 30;
constexpr std::size_t proxy_offset = 32; ///< offset from a VM's address to the proxy's address for it
constexpr auto platform_host = "254";    ///< last byte of the address
constexpr auto proxy_host = "253";       ///< last byte of the address
constexpr std::uint16_t platform_port = 7300;
constexpr std::uint16_t proxy_port = 7500;

/// Returns the prefix 127.<a>.<b>., derived from the process id and the number of the deployment in this
/// process, so that concurrent deployments use distinct addresses.
std::string address_block() {
    constexpr unsigned values = 250;          // number of values of each of the two bytes
    constexpr unsigned process_stride = 7919; // a prime far above usual differences of process ids
    static unsigned started = 0;
    const auto n = static_cast<unsigned>(getpid()) + process_stride * started++;
    return "127." + std::to_string(1 + n / values % values) + "." + std::to_string(n % values) + ".";
}

void write_file(const std::string& file_name, const std::string& text) {
    std::ofstream{file_name} << text;
}

std::string node_settings_text(const deployed_vm& vm, const std::vector<deployed_vm>& vms,
                               const endpoint& platform, const std::string& folder) {
    std::string seeds;
    std::set<std::string> domains;
    for (const auto& it : vms) {
        if (domains.insert(it.domain).second) {
            seeds += (seeds.empty() ? "\"" : ", \"") + to_string(it.advertise) + "\"";
        }
    }
    const auto platform_line = platform.port == 0 ? "" : "platform = \"" + to_string(platform) + "\"\n";
    return "node = \"" + vm.node_id + "\"\ndomain = \"" + vm.domain + "\"\nlisten = \"" +
           to_string(vm.listen) + "\"\nadvertise = \"" + to_string(vm.advertise) + "\"\n" + platform_line +
           "admin = \"" + to_string(vm.admin) + "\"\nsource_host = \"" + vm.listen.host + "\"\nseeds = [" +
           seeds + "]\nlog = \"warning\"\ninitial_document = \"" + folder +
           "/document.json\"\n\n[security]\nactive = \"k1\"\noperator_tokens = [\"" +
           token_digest(operator_token) + "\"]\n\n" + "[[security.keys]]\nid = \"k1\"\nsecret = \"" +
           message_secret + "\"\n";
}

} // namespace

deployment::deployment(deployment_options options) : options_(std::move(options)) {}

result<std::unique_ptr<deployment>> deployment::start(deployment_options options) {
    auto it = std::make_unique<deployment>(std::move(options));
    auto load = load_workload(it->options_.workload_file);
    if (!load) {
        return load.error();
    }
    it->load_ = std::move(load.value());
    scale_down(it->load_, it->options_.scale);
    if (it->options_.servers > 0) {
        for (auto& [name, service] : it->load_.services) {
            service.servers = it->options_.servers;
        }
    }
    if (const auto started = it->start_processes(); !started) {
        return started.error();
    }
    if (const auto ready = it->wait_until_ready(); !ready) {
        return ready.error();
    }
    return it;
}

result<void> deployment::start_processes() {
    std::string name = std::filesystem::temp_directory_path() / "baobabswitch-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        return error{error_kind::internal, "can't create a temporary folder", "check TMPDIR"};
    }
    folder_ = name;
    write_file(folder_ + "/document.json", make_document(load_, options_.policy));
    address_prefix_ = address_block();
    for (const auto& [service, it] : load_.services) {
        for (int n = 0; n < it.servers; ++n) {
            deployed_vm vm;
            const auto index = vms_.size();
            const auto domain = index % load_.domains.size();
            const auto place = index / load_.domains.size();
            if (place >= max_vms_per_domain) {
                return error{error_kind::bad_settings, "the workload has too many servers for one machine",
                             "start fewer"};
            }
            vm.domain = load_.domains.at(domain);
            vm.service = service;
            vm.node_id = service + "-" + std::to_string(n + 1);
            const auto host = address_prefix_ + std::to_string(domain * domain_stride + place + 1);
            vm.listen = {host, call_port};
            vm.admin = {host, admin_port};
            vm.target = {host, target_port};
            const auto proxy =
                address_prefix_ + std::to_string(domain * domain_stride + proxy_offset + place + 1);
            vm.advertise = {options_.proxied ? proxy : host, call_port};
            vm.target_advertise = {options_.proxied ? proxy : host, target_port};
            vms_.push_back(vm);
        }
    }
    if (options_.platform) {
        if (const auto started = start_platform(); !started) {
            return started.error();
        }
    }
    if (options_.proxied) {
        if (const auto started = start_proxy(); !started) {
            return started.error();
        }
    }
    for (std::size_t n = 0; n < vms_.size(); ++n) {
        if (const auto started = restart_node(n); !started) {
            return started.error();
        }
        if (const auto started = restart_target(n); !started) {
            return started.error();
        }
    }
    return success();
}

result<void> deployment::start_platform() {
    platform_ = {address_prefix_ + platform_host, platform_port};
    platform_advertise_ =
        options_.proxied ? endpoint{address_prefix_ + proxy_host, platform_port} : platform_;
    const auto started =
        start_process({options_.binaries + "/standin-platform", "--listen", to_string(platform_)},
                      folder_ + "/platform.log");
    if (!started) {
        return started.error();
    }
    platform_pid_ = started.value();
    return success();
}

result<void> deployment::start_proxy() {
    proxy_control_ = {address_prefix_ + proxy_host, proxy_port};
    std::vector<std::string> arguments{options_.binaries + "/fault-proxy", "--control",
                                       to_string(proxy_control_), "--seed", std::to_string(options_.seed)};
    const auto forward = [&arguments](const endpoint& listen, const endpoint& to) {
        arguments.emplace_back("--forward");
        arguments.push_back(to_string(listen) + "=" + to_string(to));
    };
    for (const auto& it : vms_) {
        forward(it.advertise, it.listen);
        forward(it.target_advertise, it.target);
    }
    if (options_.platform) {
        forward(platform_advertise_, platform_);
    }
    const auto started = start_process(arguments, folder_ + "/proxy.log");
    if (!started) {
        return started.error();
    }
    proxy_pid_ = started.value();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(start_seconds);
    while (!set_faults(nlohmann::json::array())) {
        if (std::chrono::steady_clock::now() > deadline) {
            return error{error_kind::internal, "the fault proxy doesn't answer",
                         "see the logs in " + folder_};
        }
        std::this_thread::sleep_for(poll_period);
    }
    return success();
}

std::string deployment::domain_prefix(const std::string& domain) const {
    const auto found = std::find(load_.domains.begin(), load_.domains.end(), domain);
    const auto n = static_cast<std::size_t>(found - load_.domains.begin());
    return address_prefix_ + std::to_string(n * domain_stride) + "/27";
}

nlohmann::json deployment::domain_latencies() const {
    auto rules = nlohmann::json::array();
    for (const auto& from : load_.domains) {
        for (const auto& to : load_.domains) {
            if (from != to) {
                rules.push_back({{"source", domain_prefix(from)},
                                 {"destination", domain_prefix(to)},
                                 {"delay_ms", load_.domain_latency_ms}});
            }
        }
    }
    return rules;
}

bool deployment::set_faults(const nlohmann::json& rules) const {
    auto all = domain_latencies();
    all.insert(all.end(), rules.begin(), rules.end());
    httplib::Client client{proxy_control_.host, proxy_control_.port};
    const auto response = client.Post("/control", nlohmann::json{{"rules", all}}.dump(), "application/json");
    return response && response->status == 200;
}

nlohmann::json deployment::fault_counts() const {
    httplib::Client client{proxy_control_.host, proxy_control_.port};
    const auto response = client.Get("/counts");
    return response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
}

nlohmann::json deployment::partition_rules(const std::string& domain) const {
    auto rules = nlohmann::json::array();
    const auto lose = [&rules](const std::string& from, const std::string& to) {
        rules.push_back({{"source", from}, {"destination", to}, {"lose_to", true}, {"lose_back", true}});
    };
    for (const auto& other : load_.domains) {
        if (other != domain) {
            lose(domain_prefix(domain), domain_prefix(other));
            lose(domain_prefix(other), domain_prefix(domain));
        }
    }
    lose(domain_prefix(domain), address_prefix_ + platform_host);
    return rules;
}

bool deployment::control_platform(const std::string& json) const {
    httplib::Client client{platform_.host, platform_.port};
    const auto response = client.Post("/control", json, "application/json");
    return response && response->status == 200;
}

std::string deployment::operator_credential() {
    return operator_token;
}

const endpoint& deployment::platform_address() const {
    return platform_;
}

std::pair<int, std::uint64_t>
deployment::change_config(std::size_t vm, const std::string& author,
                          const std::function<void(nlohmann::json&)>& change) const {
    const auto& admin = vms_.at(vm).admin;
    httplib::Client client{admin.host, admin.port};
    client.set_bearer_token_auth(operator_token);
    const auto stored = client.Get("/v1/config");
    if (!stored || stored->status != 200) {
        return {stored ? stored->status : 0, 0};
    }
    const auto current = nlohmann::json::parse(stored->body, nullptr, false);
    auto document = current.value("document", nlohmann::json());
    if (document.is_null()) {
        document = nlohmann::json::parse(make_document(load_, options_.policy));
    }
    change(document);
    const nlohmann::json body{{"document", std::move(document)},
                              {"author", author},
                              {"reason", "trial"},
                              {"write_id", make_write_id()},
                              {"base_version", current.value("version", std::uint64_t{0})}};
    const auto written = client.Put("/v1/config", body.dump(), "application/json");
    if (!written) {
        return {0, 0};
    }
    const auto answer = nlohmann::json::parse(written->body, nullptr, false);
    const bool accepted = written->status == 200 && answer.is_object();
    return {written->status, accepted ? answer.value("version", std::uint64_t{0}) : 0};
}

std::uint64_t deployment::config_version(std::size_t vm) const {
    const auto& admin = vms_.at(vm).admin;
    httplib::Client client{admin.host, admin.port};
    const auto response = client.Get("/v1/status");
    const auto status = response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
    return status.is_object() ? status.value("config_version", std::uint64_t{0}) : 0;
}

std::string deployment::executions_file(const deployed_vm& vm) const {
    return folder_ + "/" + vm.node_id + ".executions";
}

std::string deployment::log_file(const deployed_vm& vm) const {
    return folder_ + "/" + vm.node_id + ".log";
}

result<void> deployment::restart_target(std::size_t vm) {
    auto& it = vms_.at(vm);
    const auto started = start_process(
        {options_.binaries + "/standin-target", "--workload", options_.workload_file, "--scale",
         std::to_string(options_.scale), "--service", it.service, "--listen", to_string(it.target), "--node",
         to_string(it.listen), "--advertise", to_string(it.target_advertise), "--executions",
         executions_file(it), "--seed", std::to_string(vm + 1)},
        folder_ + "/target-" + it.node_id + ".log");
    if (!started) {
        return started.error();
    }
    it.target_pid = started.value();
    return success();
}

result<void> deployment::restart_node(std::size_t vm) {
    auto& it = vms_.at(vm);
    const auto file = folder_ + "/" + it.node_id + ".toml";
    write_file(file, node_settings_text(it, vms_, platform_advertise_, folder_));
    const auto started =
        start_process({options_.binaries + "/baobabswitchd", "--settings", file}, log_file(it));
    if (!started) {
        return started.error();
    }
    it.node_pid = started.value();
    return success();
}

result<void> deployment::wait_until_ready() {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(start_seconds);
    for (const auto& vm : vms_) {
        httplib::Client client{vm.admin.host, vm.admin.port};
        for (;;) {
            std::size_t up = 0;
            if (const auto response = client.Get("/v1/status")) {
                const auto status = nlohmann::json::parse(response->body, nullptr, false);
                for (const auto& it : status.value("members", nlohmann::json::array())) {
                    up += it.value("state", "") == "up" ? 1 : 0;
                }
            }
            if (up == vms_.size()) {
                break;
            }
            if (std::chrono::steady_clock::now() > deadline) {
                return error{error_kind::internal,
                             "node " + vm.node_id + " reports only " + std::to_string(up) + " of " +
                                 std::to_string(vms_.size()) + " targets as up",
                             "see the logs in " + folder_};
            }
            std::this_thread::sleep_for(poll_period);
        }
    }
    return success();
}

deployment::~deployment() {
    for (const auto& it : vms_) {
        for (const auto process : {it.target_pid, it.node_pid}) {
            if (process > 0) {
                kill(process, SIGTERM);
                kill(process, SIGCONT);
            }
        }
    }
    for (const auto& it : vms_) {
        for (const auto process : {it.target_pid, it.node_pid}) {
            if (process > 0) {
                stop_process(process, stop_seconds);
            }
        }
    }
    for (const auto process : {proxy_pid_, platform_pid_}) {
        if (process > 0) {
            stop_process(process, stop_seconds);
        }
    }
    if (!folder_.empty() && std::getenv("BAOBABSWITCH_KEEP_LOGS") == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(folder_, ec);
    }
}

const std::vector<deployed_vm>& deployment::vms() const {
    return vms_;
}

const workload& deployment::load() const {
    return load_;
}

void deployment::signal_node(std::size_t vm, int signal) {
    kill(vms_.at(vm).node_pid, signal);
}

void deployment::signal_target(std::size_t vm, int signal) {
    kill(vms_.at(vm).target_pid, signal);
}

int deployment::wait_for_node(std::size_t vm, double seconds) {
    const int status = wait_for_exit(vms_.at(vm).node_pid, seconds);
    if (status >= 0) {
        vms_.at(vm).node_pid = 0;
    }
    return status;
}

int deployment::wait_for_target(std::size_t vm, double seconds) {
    const int status = wait_for_exit(vms_.at(vm).target_pid, seconds);
    if (status >= 0) {
        vms_.at(vm).target_pid = 0;
    }
    return status;
}

bool deployment::wait_until_up(std::size_t vm, double seconds) const {
    const auto& own = vms_.at(vm);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    httplib::Client client{own.admin.host, own.admin.port};
    while (std::chrono::steady_clock::now() < deadline) {
        if (const auto response = client.Get("/v1/status")) {
            const auto status = nlohmann::json::parse(response->body, nullptr, false);
            for (const auto& it : status.value("members", nlohmann::json::array())) {
                if (it.value("node", "") == own.node_id && it.value("state", "") == "up") {
                    return true;
                }
            }
        }
        std::this_thread::sleep_for(poll_period);
    }
    return false;
}

bool deployment::control_target(std::size_t vm, const std::string& json) const {
    const auto& target = vms_.at(vm).target;
    httplib::Client client{target.host, target.port};
    const auto response = client.Post("/control", json, "application/json");
    return response && response->status == 200;
}

std::vector<std::size_t> deployment::vms_of(const std::string& service) const {
    std::vector<std::size_t> found;
    for (std::size_t n = 0; n < vms_.size(); ++n) {
        if (vms_.at(n).service == service) {
            found.push_back(n);
        }
    }
    return found;
}

execution_table deployment::executions() const {
    execution_table table;
    for (const auto& it : vms_) {
        read_executions(table, executions_file(it));
    }
    return table;
}

std::uint64_t deployment::logged_violations() const {
    std::uint64_t count = 0;
    for (const auto& it : vms_) {
        std::ifstream in{log_file(it)};
        for (std::string line; std::getline(in, line);) {
            // Matches the field of baobabswitchd's violation report, which has its own line in the JSON log.
            count += line.find("\"invariant\": \"") != std::string::npos &&
                             line.find("\"logger\"") == std::string::npos
                         ? 1
                         : 0;
        }
    }
    return count;
}

} // namespace baobabswitch
