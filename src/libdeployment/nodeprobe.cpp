#include "nodeprobe.h"

#include <httplib.h>

#include <fstream>
#include <sstream>

#include <unistd.h>

namespace baobabswitch {

namespace {

constexpr int time_fields_before_utime = 11; ///< fields of /proc/PID/stat between the command and utime

double cpu_seconds_of(pid_t process) {
    std::ifstream in{"/proc/" + std::to_string(process) + "/stat"};
    std::string line;
    std::getline(in, line);
    const auto end = line.rfind(')');
    if (end == std::string::npos) {
        return 0;
    }
    std::istringstream fields{line.substr(end + 1)};
    std::string skipped;
    for (int n = 0; n < time_fields_before_utime; ++n) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb_of(pid_t process) {
    std::ifstream in{"/proc/" + std::to_string(process) + "/statm"};
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    constexpr double bytes_per_mb = 1e6;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
}

} // namespace

std::vector<metric_sample> parse_metrics(const std::string& text) {
    std::vector<metric_sample> samples;
    std::istringstream in{text};
    for (std::string line; std::getline(in, line);) {
        const auto space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos) {
            continue;
        }
        metric_sample it;
        it.name = line.substr(0, std::min(line.find('{'), space));
        const auto quote = line.find('"');
        if (quote != std::string::npos) {
            it.label = line.substr(quote + 1, line.find('"', quote + 1) - quote - 1);
        }
        it.value = std::strtod(line.c_str() + space + 1, nullptr);
        samples.push_back(std::move(it));
    }
    return samples;
}

node_reading read_node(const deployed_vm& vm) {
    node_reading reading;
    if (vm.node_pid <= 0) {
        return reading;
    }
    reading.cpu_seconds = cpu_seconds_of(vm.node_pid);
    reading.resident_mb = resident_mb_of(vm.node_pid);
    httplib::Client client{vm.admin.host, vm.admin.port};
    client.set_connection_timeout(1);
    client.set_read_timeout(2);
    const auto response = client.Get("/metrics");
    if (!response || response->status != 200) {
        return reading;
    }
    reading.reachable = true;
    for (const auto& it : parse_metrics(response->body)) {
        if (it.name == "baobabswitch_invariant_checks") {
            reading.checked[it.label] += static_cast<std::uint64_t>(it.value);
        } else if (it.name == "baobabswitch_invariant_violations") {
            reading.violated[it.label] += static_cast<std::uint64_t>(it.value);
        } else if (it.name == "baobabswitch_control_bytes_total") {
            reading.control_bytes += it.value;
        }
    }
    return reading;
}

} // namespace baobabswitch
