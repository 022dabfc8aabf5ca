#pragma once

#include "meshnode.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// In-memory stand-in for the platform's metadata store. While `unavailable`, new calls fail after a short
/// delay. Nodes call it from their own threads; the mutex guards all members.
class memory_object_store {
public:
    std::mutex mutex;
    std::map<std::string, std::map<std::string, baobabswitch::stored_object>> kinds;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    bool unavailable = false;
    bool silent = false; ///< watches get no response and fail when they time out
    /// Watches that may be stale report no changes, as if their data were old.
    bool stale_watches_lag = false;

    /// Creates a client for one node.
    std::unique_ptr<baobabswitch::object_client> connect(baobabswitch::event_loop& loop);
    /// Writes an object unconditionally, as operators do.
    void put(const std::string& kind, const std::string& name, std::string content);

    void set_unavailable(bool value);
    void set_silent(bool value);
    void set_stale_watches_lag(bool value);
    /// Lets the store come back from a copy that holds `objects` as of a revision, in a new era. All watches
    /// are cut off.
    void restore(std::map<std::string, std::map<std::string, baobabswitch::stored_object>> objects,
                 std::uint64_t copy_revision);
    /// Returns the JSON content of an object.
    std::string content(const std::string& kind, const std::string& name);

    struct pending_watch {
        baobabswitch::event_loop* loop;
        std::string kind;
        std::uint64_t after;
        baobabswitch::freshness wanted;
        baobabswitch::object_client::list_callback fn;
        std::shared_ptr<bool> done;
    };
    std::vector<pending_watch> watches;
    /// Completes the watches of a kind that have changes to report. The caller holds the mutex.
    void notify_watches(const std::string& kind);
};

/// Stand-in for a target: executes each request for `processing_time` and records it.
struct target_standin {
    baobabswitch::endpoint address;
    std::string instance;
    std::unique_ptr<baobabswitch::http_server> server;
    baobabswitch::milliseconds processing_time{20};
    bool healthy = true;
    unsigned running = 0;
    unsigned max_running = 0;
    std::map<std::string, int> runs; ///< executions by request id
    std::vector<baobabswitch::http_request> received;
    /// If set, handles requests instead; returns false to fall back to the default execution.
    std::function<bool(const baobabswitch::http_request&,
                       const std::shared_ptr<baobabswitch::http_exchange>&)>
        request_handler;
};

/// Outcome of a call as its caller sees it.
struct caller_result {
    unsigned status = 0; ///< 0: no response
    baobabswitch::http_response response;
    double latency_ms = 0;
};

/// A node with its own event loop and thread, so that it can be stopped without a graceful shutdown, like a
/// killed process.
struct node_thread {
    std::unique_ptr<baobabswitch::event_loop> loop;
    std::unique_ptr<baobabswitch::mesh_node> node;
    std::thread thread;
};

/// In-process deployment for tests: nodes with their targets, a metadata store and callers.
class mesh_rig {
public:
    /// All addresses are in 127.77.`subnet`.0/24; each test uses a subnet of its own.
    explicit mesh_rig(unsigned subnet);
    ~mesh_rig();
    mesh_rig(const mesh_rig&) = delete;
    mesh_rig& operator=(const mesh_rig&) = delete;
    mesh_rig(mesh_rig&&) = delete;
    mesh_rig& operator=(mesh_rig&&) = delete;

    /// Adds a VM with a target of `service` and starts its node. Returns the index of the VM.
    std::size_t add_vm(const std::string& service, const std::string& domain, unsigned slots);
    void start_node(std::size_t n, bool first_start);
    /// Stops a node without a graceful shutdown and checks that it violated no invariant.
    void kill_node(std::size_t n);
    /// Stores the entry of a target whose VM was lost for good.
    void add_lost_vm(const std::string& service, const std::string& domain, unsigned number);
    /// Starts the graceful shutdown of a node.
    void stop_node(std::size_t n);
    /// Returns the configuration version that a node uses.
    std::uint64_t config_version_of(std::size_t n);
    /// Sends a heartbeat of the target of a VM to its node.
    void announce(std::size_t n, std::uint64_t sequence, bool leaving = false,
                  std::uint64_t started_ms = 1000);
    void withdraw(std::size_t n);
    /// Publishes routes: /read/ (idempotent) and /write/ (at most once) to "front", /back/ to "back".
    void publish(std::uint64_t version, double timeout_s = 1.0);
    /// Sends a request as a caller on VM `n`. The result is filled in while the event loop runs.
    std::shared_ptr<caller_result> send(std::size_t n, const std::string& method, const std::string& path,
                                        const std::string& id, unsigned deadline_ms = 3000,
                                        std::string body = {});
    void run_for(baobabswitch::milliseconds time);

    baobabswitch::event_loop loop;
    memory_object_store store;
    std::vector<std::unique_ptr<target_standin>> targets;
    std::vector<node_thread> nodes;
    std::vector<baobabswitch::mesh_settings> settings;
    std::size_t memory_bytes = 0; ///< memory of each VM that is added from now on; 0 if unknown
    /// Number of announcements that got status 200.
    unsigned acknowledged_announcements = 0;

private:
    void announce(std::size_t n, const baobabswitch::target_announcement& announcement);
    void serve(target_standin& target, baobabswitch::http_request request,
               const std::shared_ptr<baobabswitch::http_exchange>& exchange);

    unsigned subnet_;
    std::vector<unsigned> slots_;
    baobabswitch::http_client client_;
};
