#pragma once

#include "deployment.h"
#include "eventloop.h"
#include "httpclient.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace baobabswitch {

/// One request of a client, from its planned arrival to its last answer.
struct request_sample {
    std::string kind;
    double at = 0;       ///< when the open-loop schedule wanted it sent, in seconds since the start
    double send_lag = 0; ///< from the planned to the real time of sending, in seconds
    double seconds = 0;  ///< from the planned time to the last answer
    std::string outcome; ///< "done", "not-run", "unknown", "promised" or "failed" (done with an error status)
    std::string cause;   ///< error kind of the last answer that was not done
    unsigned attempts = 0;             ///< times that the client sent it
    unsigned refusals = 0;             ///< attempts answered by not-run
    unsigned interrupted_attempts = 0; ///< attempts whose connection was cut or answer truncated
    bool response_matches = true;      ///< every answer belonged to this request
    /// Identities of which the last word was "not run": they must not appear among the executions.
    std::vector<std::string> not_run_ids;
};

/// How clients react to a request that was not done.
struct client_behaviour {
    unsigned retries = 2;
    milliseconds backoff{100}; ///< times the number of the attempt, spread by half
};

/// Clients that repeat at once and often.
inline constexpr client_behaviour aggressive_retries{10, milliseconds{20}};

struct load_options {
    std::uint64_t seed = 1;
    double seconds = 5;
    /// Requests per second at a time since the start.
    std::function<double(double seconds)> rate;
    /// Factor on the share of a kind at a time since the start; not set: 1.
    std::function<double(const std::string& kind, double seconds)> weight;
    /// Reaction of clients at a time since the start; not set: the defaults.
    std::function<client_behaviour(double seconds)> behaviour;
    milliseconds client_latency{0}; ///< one way, added to each exchange
};

/// Sends a workload's mix of requests to the nodes of a deployment, without waiting for answers (open loop).
class load_generator {
public:
    load_generator(event_loop& loop, const workload& load, std::vector<endpoint> nodes, load_options options);

    /// Starts; the callback runs when every request has ended, the other one when the schedule begins.
    /// Nothing is repeated after the last planned arrival.
    void start(std::function<void()> on_finished, std::function<void()> on_begin = {});

    const std::vector<request_sample>& samples() const;
    /// When the schedule began. Valid once the first request was sent.
    time_point started() const;

private:
    struct client_request;

    void schedule_next();
    void issue(time_point planned);
    void fetch_keys(const endpoint& node);
    bool take_key(client_request& it);
    endpoint pick_node();
    void attempt(const std::shared_ptr<client_request>& it);
    void on_answer(const std::shared_ptr<client_request>& it, const endpoint& node,
                   const http_result& result);
    bool prepare_retry(client_request& it, const std::string& cause);
    void end(const std::shared_ptr<client_request>& it);
    std::string pick_kind(double at);
    double now_seconds() const;

    event_loop& loop_;
    const workload& load_;
    std::vector<endpoint> nodes_;
    load_options options_;
    http_client client_;
    std::mt19937_64 rng_;
    std::function<void()> on_finished_;
    std::map<endpoint, std::vector<std::string>> keys_;
    std::map<endpoint, bool> fetching_;
    std::map<endpoint, time_point> avoid_until_; ///< nodes that refused connections or are draining
    std::vector<request_sample> samples_;
    time_point started_;
    time_point next_;
    std::size_t outstanding_ = 0;
    bool issuing_ = true;
};

} // namespace baobabswitch
