#pragma once

#include "eventloop.h"
#include "faults.h"
#include "httpserver.h"
#include "memorystore.h"

#include <nlohmann/json_fwd.hpp>

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace baobabswitch {

/// Token bucket that allows a sustained rate of calls and a burst of one second's worth.
struct call_rate_limit {
    double per_second = 0;
    double tokens = 0;
    time_point refilled;
};

/// A pending watch request of a client.
struct pending_watch {
    std::string prefix;
    std::uint64_t after = 0; ///< revision after which a change ends the wait
    std::shared_ptr<http_exchange> exchange;
    timer_handle deadline;
};

/// In-memory implementation of the platform's object API (design §3.4) with its limits. POST /control sets
/// faults at run time, GET /counters returns the number of calls. Event loop thread only.
class platform {
public:
    /// Starts listening. Fails with bad_settings.
    static result<std::unique_ptr<platform>> create(event_loop& loop, const endpoint& listen,
                                                    platform_faults faults);
    platform(event_loop& loop, platform_faults faults);

    /// Creates objects from a JSON object of names and values. Values other than strings are stored as JSON
    /// text. Fails with bad_document.
    result<void> load(const std::string& text);
    std::uint16_t port() const;

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void dispatch(const http_request& request, const exchange_ptr& exchange);
    void call(const http_request& request, const exchange_ptr& exchange);
    void apply(const http_request& request, const exchange_ptr& exchange);
    void answer(const exchange_ptr& exchange, http_response response);
    void start_watch(const http_request& request, const exchange_ptr& exchange);
    void answer_watches(std::string_view name);
    http_response control(const std::string& body);
    http_response counters() const;
    http_response read(const std::string& name);
    http_response write(const http_request& request, const std::string& name);
    bool take_token(call_rate_limit& rate);
    duration one_way_latency();
    void count(std::string_view name);

    event_loop& loop_;
    platform_faults faults_;
    timer_handle faults_end_; ///< resets the faults when for_ms has passed
    std::mt19937_64 rng_;
    memory_store store_;
    call_rate_limit reads_;
    call_rate_limit writes_;
    std::list<pending_watch> watches_;
    /// By GROUP.NAME, which is the field NAME of the object GROUP in the answer of GET /counters.
    std::map<std::string, std::uint64_t, std::less<>> counts_;
    std::unique_ptr<http_server> server_;
};

} // namespace baobabswitch
