#pragma once

#include "eventloop.h"
#include "httpmessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace baobabswitch {

enum class http_failure_kind {
    connect_failed,
    wait_queue_full,
    connection_lost,
    truncated,
    malformed,
    timeout,
    cancelled
};

/// Why an exchange has no complete answer.
struct http_failure {
    http_failure_kind kind = http_failure_kind::connection_lost;
    /// Whether any byte of the request may have reached the peer. When false, the peer certainly did not act.
    bool sent = true;
    std::string detail;
};

using http_result = std::variant<http_response, http_failure>;

struct http_client_options {
    http_limits limits;
    std::size_t connections_per_endpoint = 16;
    std::size_t connects_per_endpoint = 4; ///< connections being opened at the same time
    std::size_t max_waiting_per_endpoint = 4096;
    duration connect_timeout = milliseconds{500};
    duration idle_timeout =
        std::chrono::seconds{30}; ///< below the server's, so that it isn't the one to close
    std::string source_host;      ///< local address to connect from; empty lets the system choose
    /// Time after which unacknowledged data ends a connection (TCP_USER_TIMEOUT); zero keeps the system's.
    milliseconds user_timeout{0};
    /// Idle time before TCP keep-alive probes, also between probes; two lost probes end a connection. Zero
    /// sends none.
    std::chrono::seconds keepalive_probe{0};
    /// Answer header that repeats the request's value. An answer with another value belongs to an earlier
    /// request and is passed over. Empty checks nothing.
    std::string correlation_header;
};

/// HTTP/1.1 client with a pool of kept-alive connections per endpoint. Event loop thread only.
class http_client {
public:
    using callback = std::function<void(http_result)>;
    using exchange_id = std::uint64_t;

    struct impl;

    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends a request and calls back exactly once, never from inside this function.
    /// A connection whose exchange failed, timed out or was cancelled is closed and never reused, so that a
    /// late answer can't be taken for the answer to another request.
    exchange_id send(const endpoint& peer, http_request request, duration timeout, callback on_result);
    /// Ends an exchange; its callback gets http_failure_kind::cancelled.
    void cancel(exchange_id id);
    /// Ends an exchange that still waits for a connection, and reports whether it did; a sent one goes on.
    bool cancel_if_unsent(exchange_id id);
    /// Sets the bound on connections to one endpoint.
    void limit_connections(const endpoint& peer, std::size_t n);

    std::size_t open_connections() const;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
