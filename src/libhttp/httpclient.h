#pragma once

#include "bodymemory.h"
#include "eventloop.h"
#include "httpmessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace baobabswitch {

enum class http_failure_kind {
    connect_failed,
    wait_queue_full,  ///< max_waiting_per_endpoint requests already wait
    connection_lost,  ///< any loss of the connection other than truncated
    truncated,        ///< the peer closed or reset the connection within the response
    malformed,        ///< the response is invalid, too large or has the correlation id of another request
    memory_exhausted, ///< the response was given up to keep the bodies of all responses within memory
    timeout,
    cancelled
};

/// Why an exchange (a request and its response) ended without a complete response.
struct http_failure {
    http_failure_kind kind = http_failure_kind::connection_lost;
    /// Whether any byte of the request may have reached the peer. If false, the peer did not process it.
    bool sent = true;
    std::string detail;
};

using http_result = std::variant<http_response, http_failure>;

struct http_client_options {
    http_limits limits;
    std::size_t max_connections_per_endpoint = 16;
    std::size_t max_connecting_per_endpoint = 4; ///< connections being established at the same time
    std::size_t max_waiting_per_endpoint = 4096; ///< requests that wait for a connection
    duration connect_timeout = milliseconds{500};
    duration idle_timeout =
        std::chrono::seconds{30}; ///< shorter than the server's, so that the client closes first
    std::string source_host;      ///< local address to connect from; empty lets the system choose
    /// Time after which unacknowledged data closes a connection (TCP_USER_TIMEOUT); 0: system default.
    milliseconds user_timeout{0};
    /// Idle time before the first TCP keep-alive probe and interval between probes; two lost probes close a
    /// connection. 0: no probes.
    std::chrono::seconds keepalive_interval{0};
    /// Counts the bodies of responses that are being read; null: only limits.body_bytes bounds them.
    std::shared_ptr<body_memory> memory;
    /// Request header that the peer copies into its response. A response with another value belongs to
    /// another request and is ignored, or fails the exchange if the connection can't deliver the right one.
    /// Empty: no check.
    std::string correlation_header;
    /// Whether a response without the header that its request carries fails the exchange; else it is
    /// accepted.
    bool require_correlation = false;
};

/// HTTP/1.1 client with a pool of persistent connections per endpoint. Event loop thread only.
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

    /// Sends a request and invokes the callback exactly once, never from within this function. If the client
    /// is destroyed first, the callback may not be invoked. A connection whose exchange failed, timed out or
    /// was cancelled is closed and never reused, so that a late response can't be taken for the response to
    /// another request.
    exchange_id send(const endpoint& peer, http_request request, duration timeout, callback on_result);
    /// Cancels an exchange; its callback gets http_failure_kind::cancelled.
    void cancel(exchange_id id);
    /// Cancels an exchange that still waits for a connection. Returns false if it was sent or has ended.
    bool cancel_if_unsent(exchange_id id);
    /// Sets the maximum number of connections to one endpoint; open ones above it are not closed.
    void limit_connections(const endpoint& peer, std::size_t n);

    /// Returns the number of connections to all endpoints, including those being established.
    std::size_t open_connections() const;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
