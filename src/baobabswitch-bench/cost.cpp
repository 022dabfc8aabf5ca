#include "cost.h"

#include "eventloop.h"
#include "httpclient.h"
#include "measures.h"
#include "nodeprobe.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <random>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr double percent = 100;

/// Connections that stay open after one answered request each.
class idle_connections {
public:
    idle_connections() = default;
    ~idle_connections() {
        for (const int it : sockets_) {
            close(it);
        }
    }
    idle_connections(const idle_connections&) = delete;
    idle_connections& operator=(const idle_connections&) = delete;
    idle_connections(idle_connections&&) = delete;
    idle_connections& operator=(idle_connections&&) = delete;

    result<void> open(const endpoint& peer, std::size_t count) {
        constexpr std::string_view request =
            "POST /v1/keys?count=1 HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n";
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        inet_pton(AF_INET, peer.host.c_str(), &address.sin_addr);
        std::array<char, 4096> answer{};
        for (std::size_t n = 0; n < count; ++n) {
            const int it = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            if (it < 0) {
                return error{error_kind::internal, "can't open a socket", "raise the limit on open files"};
            }
            sockets_.push_back(it);
            // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): POSIX
            const bool connected =
                connect(it, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            if (!connected || write(it, request.data(), request.size()) < 0 ||
                read(it, answer.data(), answer.size()) <= 0) {
                return error{error_kind::internal,
                             "the node gave no answer on connection " + std::to_string(n + 1),
                             "see the node's log"};
            }
        }
        return success();
    }

private:
    std::vector<int> sockets_;
};

/// Sends calls at random times, each with equal probability through the node or directly to the target.
class comparison_load {
public:
    comparison_load(event_loop& loop, const deployed_vm& vm, const workload& load,
                    const cost_options& options)
        : loop_(loop),
          vm_(vm),
          load_(load),
          options_(options),
          client_(loop, {}),
          rng_(options.seed) {
        constexpr std::size_t connections = 64;
        client_.limit_connections(vm.listen, connections);
        client_.limit_connections(vm.target, connections);
    }

    void start() {
        started_ = next_ = clock::now();
        schedule_next();
    }

    std::vector<double> through_node;
    std::vector<double> direct;
    std::size_t failed = 0;

private:
    void schedule_next() {
        const auto now = clock::now();
        while (next_ <= now) {
            send(next_);
            const double gap = std::exponential_distribution<double>{2 * options_.calls_per_second}(rng_);
            next_ += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
        }
        if (std::chrono::duration<double>(now - started_).count() >= options_.seconds) {
            issuing_ = false;
            stop_when_done();
            return;
        }
        loop_.schedule(next_ - now, [this] { schedule_next(); });
    }

    void stop_when_done() {
        if (!issuing_ && outstanding_ == 0) {
            loop_.stop();
        }
    }

    void send(time_point planned) {
        const auto& [name, kind] = *load_.kinds.begin();
        const bool via_node = std::bernoulli_distribution{}(rng_);
        http_request request{"POST",
                             via_node ? "/v1/call/" + kind.service + "/" + name : "/" + name,
                             {{"Baobab-Kind", name}, {"Baobab-Timeout-Ms", std::to_string(kind.timeout_ms)}},
                             "{}"};
        if (!via_node) {
            const auto id = "direct." + std::to_string(++direct_calls_);
            request.headers.emplace_back("Baobab-Call", id);
            request.headers.emplace_back("Baobab-Request", id);
        }
        ++outstanding_;
        client_.send(via_node ? vm_.listen : vm_.target, std::move(request), milliseconds{kind.timeout_ms},
                     [this, via_node, planned](const http_result& answer) {
                         const auto* response = std::get_if<http_response>(&answer);
                         if (response == nullptr || response->status != 200) {
                             ++failed;
                         } else {
                             const std::chrono::duration<double, std::milli> time = clock::now() - planned;
                             (via_node ? through_node : direct).push_back(time.count());
                         }
                         --outstanding_;
                         stop_when_done();
                     });
    }

    event_loop& loop_;
    const deployed_vm& vm_;
    const workload& load_;
    const cost_options& options_;
    http_client client_;
    std::mt19937_64 rng_;
    time_point started_;
    time_point next_;
    std::size_t outstanding_ = 0;
    std::size_t direct_calls_ = 0;
    bool issuing_ = true;
};

json describe_latencies(std::vector<double>& values) {
    return {{"calls", values.size()},
            {"p50_ms", percentile(values, 0.5)},
            {"p90_ms", percentile(values, 0.9)},
            {"p99_ms", percentile(values, 0.99)}};
}

double platform_calls(const deployment& deployed) {
    const auto& address = deployed.platform_address();
    if (address.port == 0) {
        return 0;
    }
    httplib::Client client{address.host, address.port};
    const auto response = client.Get("/counters");
    double sum = 0;
    if (response) {
        for (const auto& it :
             nlohmann::json::parse(response->body, nullptr, false).value("calls", json::object())) {
            sum += it.is_number() ? it.get<double>() : 0;
        }
    }
    return sum;
}

void sleep_for_seconds(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

} // namespace

result<json> measure_cost(deployment& deployed, const cost_options& options) {
    const auto& vm = deployed.vms().front();
    idle_connections connections;
    if (const auto opened = connections.open(vm.listen, options.connections); !opened) {
        return opened.error();
    }
    event_loop loop;
    comparison_load load{loop, vm, deployed.load(), options};
    const auto before = read_node(vm);
    load.start();
    loop.run();
    const auto after = read_node(vm);
    sleep_for_seconds(1);
    const auto idle_before = read_node(vm);
    sleep_for_seconds(options.idle_seconds);
    const auto idle_after = read_node(vm);
    auto through_node = describe_latencies(load.through_node);
    auto direct = describe_latencies(load.direct);
    return json{{"connections", options.connections},
                {"calls_per_second", options.calls_per_second},
                {"seconds", options.seconds},
                {"seed", options.seed},
                {"failed_calls", load.failed},
                {"added_p50_ms", through_node["p50_ms"].get<double>() - direct["p50_ms"].get<double>()},
                {"added_p99_ms", through_node["p99_ms"].get<double>() - direct["p99_ms"].get<double>()},
                {"through_node", std::move(through_node)},
                {"direct", std::move(direct)},
                {"busy_cpu_percent", (after.cpu_seconds - before.cpu_seconds) / options.seconds * percent},
                {"idle_cpu_percent",
                 (idle_after.cpu_seconds - idle_before.cpu_seconds) / options.idle_seconds * percent},
                {"resident_mb", std::max(after.resident_mb, idle_after.resident_mb)}};
}

json measure_idle(deployment& deployed, double settle_seconds, double seconds) {
    sleep_for_seconds(settle_seconds);
    const auto& vms = deployed.vms();
    std::vector<node_reading> before;
    before.reserve(vms.size());
    for (const auto& it : vms) {
        before.push_back(read_node(it));
    }
    const double calls_before = platform_calls(deployed);
    const auto start_time = clock::now();
    sleep_for_seconds(seconds);
    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> bytes;
    const double elapsed = std::chrono::duration<double>(clock::now() - start_time).count();
    const double calls = (platform_calls(deployed) - calls_before) / elapsed;
    for (std::size_t n = 0; n < vms.size(); ++n) {
        const auto after = read_node(vms.at(n));
        cpu.push_back((after.cpu_seconds - before.at(n).cpu_seconds) / elapsed * percent);
        memory.push_back(after.resident_mb);
        bytes.push_back((after.control_bytes - before.at(n).control_bytes) / elapsed);
    }
    const auto mean_and_max = [](std::vector<double>& values) {
        double sum = 0;
        for (const double it : values) {
            sum += it;
        }
        return json{{"mean", sum / static_cast<double>(values.size())}, {"max", percentile(values, 1)}};
    };
    return {{"nodes", vms.size()},
            {"seconds", elapsed},
            {"cpu_percent", mean_and_max(cpu)},
            {"resident_mb", mean_and_max(memory)},
            {"control_bytes_per_second", mean_and_max(bytes)},
            {"platform_calls_per_second", deployed.platform_address().port == 0 ? json() : json(calls)}};
}

} // namespace baobabswitch
