#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"
#include "targetswitches.h"
#include "workload.h"

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace baobabswitch {

struct target_options {
    std::string service;
    endpoint listen;
    endpoint advertise; ///< address announced to the node
    endpoint node;      ///< the node on the same VM
    int slots = 1;
    int connections = 16;
    std::string executions_file; ///< receives a line for each execution and each child call, see executions.h
    std::uint64_t seed = 1;
};

/// Simulated back end for tests with a number of slots, a service time per kind and child calls through its
/// node. Its queue is unbounded. POST /control sets the switches of targetswitches.h.
class standin_target {
public:
    static result<std::unique_ptr<standin_target>> create(event_loop& loop, workload load,
                                                          target_options options);
    standin_target(event_loop& loop, workload load, target_options options);

    /// Announces that the target is leaving, and stops the event loop when all its calls have ended.
    void leave();

private:
    struct accepted_call;

    void dispatch(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    void handle_call(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    void start_next();
    void run(const std::shared_ptr<accepted_call>& call);
    void call_next_child(const std::shared_ptr<accepted_call>& call);
    void finish(const std::shared_ptr<accepted_call>& call, http_response response);
    void cancel(const std::string& call, http_exchange& exchange);
    void control(const http_request& request, http_exchange& exchange);
    std::string load_report() const;
    duration service_time(const std::string& kind) const;
    void record(std::string_view event, const std::string& request, const std::string& kind);
    void announce();
    void stop_when_idle();

    event_loop& loop_;
    workload load_;
    target_options options_;
    http_client node_;
    std::unique_ptr<http_server> server_;
    /// Queued and running calls by call id.
    std::unordered_map<std::string, std::shared_ptr<accepted_call>> calls_;
    std::deque<std::shared_ptr<accepted_call>> queue_; ///< calls that wait for a slot
    std::map<std::string, unsigned> executions_;       ///< by request identity and kind
    std::ofstream executions_file_;
    target_switches switches_;
    std::mt19937_64 rng_;
    time_point started_ = clock::now();
    int running_ = 0;
    bool leaving_ = false;
};

} // namespace baobabswitch
