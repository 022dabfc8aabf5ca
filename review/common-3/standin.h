// Stand-ins for the platform, the servers and the clients of a small deployment, for the review cases 11
// to 15. They speak what PROTOCOL.md says, on loopback addresses, and start the node program as separate
// processes.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

/// Seconds since the start of the program, on the steady clock.
double now_s();
void sleep_until(double at_s);
void sleep_for(double seconds);
/// Returns whether the disruption is played; TROUBLE=0 turns it off.
bool trouble();

/// Writes a line with the time to the record file and to standard output. Thread-safe.
void record(const std::string& line);
void open_record(const std::string& path);

struct address {
    std::string ip;
    int port = 0;
    std::string text() const {
        return ip + ":" + std::to_string(port);
    }
};

/// Returns the loopback address of machine `n` of this run, 127.x.y.n with x and y drawn from the process id.
std::string machine_ip(int n);
/// Returns a port that is free on the given address.
int free_port(const std::string& ip);

struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< the whole message was read

    std::string header(std::string_view name) const;
    int status() const;
};

/// A connection with buffered input.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Opens a connection. Returns null if it can't be established within the timeout.
    static std::unique_ptr<connection> open(const address& to, double timeout_s);
    bool write(std::string_view text, double timeout_s = 30);
    /// Reads a message until `deadline_s` on the clock of now_s(). `complete` is false if it did not arrive
    /// whole.
    message read(double deadline_s, bool is_response, bool has_body = true);
    /// Returns whether the other side has closed the connection and nothing is left to read.
    bool closed_by_peer();
    /// Returns the bytes that have arrived and were not read.
    std::string unread();
    /// Ends the connection from another thread.
    void shut_down();
    /// Limits the rate at which bodies are read, in bytes per second; 0: no limit.
    double read_rate = 0;

private:
    bool fill(double deadline_s);
    int fd_;
    std::string input_;
};

std::string make_message(const std::string& start_line,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body);

/// Accepts connections and serves each on a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;
    listener(address at, handler fn, int receive_window = 0);
    ~listener() {
        close();
    }
    /// Closes the port and all its connections.
    void close();
    /// Opens the port again.
    void open();

private:
    void accept_all(int fd);
    address at_;
    handler handler_;
    int receive_window_;
    std::mutex mutex_;
    int fd_ = -1;
    std::set<std::shared_ptr<connection>> connections_;
};

/// The platform's metadata store.
class store {
public:
    explicit store(address at);
    address at() const {
        return at_;
    }

    /// Writes as the operator does; returns the revision once the store acknowledges it.
    std::uint64_t put(const std::string& kind, const std::string& name, const json& spec);
    /// Writes bytes as another program may leave them.
    std::uint64_t put_bytes(const std::string& kind, const std::string& name, const std::string& spec);
    std::uint64_t revision();
    /// Returns the revision that an object was last changed at, or 0.
    std::uint64_t revision_of(const std::string& kind, const std::string& name);
    std::string spec_of(const std::string& kind, const std::string& name);
    std::vector<std::string> names(const std::string& kind);
    /// Age of the data in answers to calls with stale_ok.
    std::atomic<double> stale_lag_s{0};

    /// Drill: the store is away, and comes back from a copy that shows its state at revision `copy`.
    /// `before_open` runs when the copy is in place and before calls are taken.
    void go_away();
    void come_back(std::uint64_t copy, const std::function<void()>& before_open);

private:
    struct event {
        std::uint64_t revision = 0;
        double at_s = 0;
        std::string kind;
        std::string name;
        std::string spec;
        std::uint64_t created = 0;
        bool deleted = false;
    };
    void serve(connection& it);
    std::string answer(const message& request);
    std::string read(const std::string& kind, const std::string& name,
                     const std::map<std::string, std::string>& query);
    std::string write(const std::string& method, const std::string& kind, std::string name,
                      const message& request, const std::map<std::string, std::string>& query);
    std::uint64_t append(event it);
    const event* find(const std::string& kind, const std::string& name, std::uint64_t up_to) const;
    std::uint64_t visible_revision(bool stale) const;
    std::string respond(int status, const std::string& body) const;

    address at_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<event> log_;
    std::uint64_t revision_ = 100;
    unsigned era_ = 1;
    std::unique_ptr<listener> listener_;
};

/// One run of a request at a server.
struct run {
    std::string request;
    std::string server;
    std::string target;
    std::string body; ///< its first 1000 bytes
    double at_s = 0;
    double ended_s = 0;
};

/// An application server beside a node.
class server {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        address at;
        address control; ///< of its node
        int slots = 32;
        double work_s = 0.02;
        double read_rate = 0; ///< bytes per second of request bodies; 0: no limit
        double beat_s = 1.5;
        int receive_window = 0; ///< of its connections, in bytes; 0: the system's
    };
    explicit server(options it);
    ~server();

    /// Starts a new incarnation, whose time of day at the start is `born_ms`.
    void start(std::uint64_t born_ms);
    /// Ends at once, without a word to its node.
    void crash();
    /// Says that it is draining until a node acknowledges it. Returns the time of the acknowledgement.
    double drain();
    void stop_beats() {
        beating_ = false;
    }
    std::vector<run> runs();
    std::atomic<double> work_s{0.02};
    std::atomic<unsigned> beats_acknowledged{0};

private:
    void serve(connection& it);
    bool beat(const char* state);
    void beat_loop();

    options options_;
    std::unique_ptr<listener> listener_;
    std::mutex mutex_;
    std::vector<run> runs_;
    std::uint64_t born_ms_ = 0;
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> beating_{false};
    std::atomic<bool> draining_{false};
    std::atomic<bool> ended_{false};
    std::thread beats_;
};

/// A node process of the deploy file.
class node {
public:
    struct options {
        std::string name;
        std::string zone;
        std::string service;
        std::string ip;
        address server;
        address store;
        int memory_mb = 260;
        bool log_to_reader = false; ///< the log goes into a pipe that the platform reads, not into a file
    };
    explicit node(options it);
    ~node();
    /// Starts the process. `bootstrap`: the whole system starts for the first time.
    void start(bool bootstrap);
    void signal(int number);
    /// Waits for the end of the process.
    void wait();
    /// Returns whether the process has ended.
    bool ended();
    bool ready();
    long resident_bytes() const;
    pid_t pid() const {
        return pid_;
    }
    std::atomic<bool> log_reader_stalled{false};
    std::atomic<std::uint64_t> log_bytes{0}; ///< read from the pipe
    address outbound;
    address inbound;
    address control;
    address ready_at;
    const std::string& name() const {
        return options_.name;
    }

private:
    options options_;
    int metrics_port_;
    pid_t pid_ = 0;
};

struct answer {
    int status = 0; ///< 0: no complete answer
    std::string body;
    bool signed_by_server = false;
    bool connected = false;
};

/// Sends one request on the connection, or on a new one if it is null.
answer send_request(const address& outbound, const std::string& method, const std::string& host,
                    const std::string& path, const std::string& id, int deadline_ms,
                    const std::string& body = {}, connection* kept = nullptr);

/// Waits until all nodes are ready. Returns false if one isn't within the time.
bool wait_ready(const std::vector<node*>& nodes, double seconds);

/// Contents of a configuration.
json make_route(const std::string& name, const std::string& prefix, const std::string& kind,
                const std::string& service, double timeout_s, double target_latency_s, int priority,
                int attempts);
json make_config(unsigned version, const std::vector<std::string>& services, const std::string& host,
                 const std::vector<json>& routes);

/// Ends the program: 0 the rule held, 1 it was broken, 2 the case couldn't run. Kills what is left of the
/// nodes.
[[noreturn]] void finish(int code, const std::string& why);

} // namespace review
