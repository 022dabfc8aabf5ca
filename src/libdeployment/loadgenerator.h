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
    double at = 0;       ///< planned time of sending in the open-loop schedule, in seconds since the start
    double send_lag = 0; ///< delay from the planned time to the start of the request, in seconds
    double seconds = 0;  ///< latency from the planned time to the last answer, including retries
    std::string outcome; ///< "done", "not-run", "unknown", "promised" or "failed" (done with an error status)
    std::string cause;   ///< error kind of the last answer that was not done
    unsigned attempts = 0;             ///< number of times that the client sent it
    unsigned refusals = 0;             ///< attempts with the outcome not-run
    unsigned interrupted_attempts = 0; ///< sent attempts with a broken connection or truncated answer
    bool response_matches = true;      ///< every answer belonged to this request
    /// Request identities with the final outcome "not-run"; they must not appear among the executions.
    std::vector<std::string> not_run_ids;
};

/// Retry policy of clients for a request whose outcome is neither done nor promised.
struct client_retry_policy {
    unsigned retries = 2;
    /// Delay before a retry, multiplied by the number of attempts so far and a random factor from 0.5 to 1.5.
    milliseconds backoff{100};
};

/// Clients that retry often and with little delay.
inline constexpr client_retry_policy aggressive_retries{10, milliseconds{20}};

struct load_options {
    std::uint64_t seed = 1;
    double seconds = 5; ///< length of the schedule
    /// Arrival rate in requests per second at a time in seconds since the start.
    std::function<double(double seconds)> rate;
    /// Factor on the share of a kind at a time in seconds since the start; 1 if not set.
    std::function<double(const std::string& kind, double seconds)> weight;
    /// Retry policy of clients at a time in seconds since the start; the defaults if not set.
    std::function<client_retry_policy(double seconds)> retry_policy;
    milliseconds client_latency{0}; ///< one way; added before the first attempt and every answer
};

/// Open-loop load generator: sends a workload's request mix to the nodes of a deployment on a schedule that
/// doesn't depend on the answers.
class load_generator {
public:
    load_generator(event_loop& loop, const workload& load, std::vector<endpoint> nodes, load_options options);

    /// Starts the load. Calls on_begin when the schedule begins and on_finished when every request has ended.
    /// Requests are not retried after the last planned arrival.
    void start(std::function<void()> on_finished, std::function<void()> on_begin = {});

    const std::vector<request_sample>& samples() const;
    /// Returns the start of the schedule. Valid from the call of on_begin on.
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
    std::map<endpoint, time_point> avoid_until_; ///< for nodes that are draining or whose connection failed
    std::vector<request_sample> samples_;
    time_point started_;
    time_point next_;
    std::size_t outstanding_ = 0;
    bool issuing_ = true;
};

} // namespace baobabswitch
