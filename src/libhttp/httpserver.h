#pragma once

#include "eventloop.h"
#include "httpmessage.h"

#include <functional>
#include <memory>

namespace baobabswitch {

/// Why a request could not be read.
enum class http_read_error {
    malformed,
    header_too_large, ///< too many bytes or too many fields
    body_too_large,
    timeout,
    body_memory_exhausted ///< the body would exceed max_buffered_body_bytes
};

/// A request that awaits its response. Event loop thread only.
class http_exchange {
public:
    http_exchange() = default;
    virtual ~http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;

    /// Sends the response; later calls are ignored, so that a request gets one response. A response with
    /// "Connection: close" closes the connection.
    virtual void respond(http_response response) = 0;
    /// Calls the function if the client closes the connection before the response is sent.
    virtual void on_abandoned(std::function<void()> fn) = 0;
    /// Returns the client's IP address.
    virtual const std::string& remote_host() const = 0;
};

struct http_server_options {
    http_limits limits;
    std::size_t max_connections = 8192; ///< connections above it are closed when they are accepted
    /// Limit on the total size of the bodies of all requests in progress and of responses not yet written. A
    /// request whose body would exceed it is rejected, and a response is replaced by one with status 502,
    /// unless no other body is held. A body of unknown length is always held to it. 0: no limit.
    std::size_t max_buffered_body_bytes = 0;
    duration idle_timeout = std::chrono::seconds{60};
    duration header_timeout = std::chrono::seconds{5};
    duration body_timeout = std::chrono::seconds{10}; ///< for reading a body and for writing a response
    /// Builds the response to a request that could not be read. If empty, its connection is closed instead.
    std::function<http_response(http_read_error)> on_read_error;
};

/// HTTP/1.1 server with persistent connections on the event loop.
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    struct impl;

    /// Starts listening. Fails with bad_settings if the address can't be bound.
    static result<std::unique_ptr<http_server>> listen(event_loop& loop, const endpoint& address,
                                                       http_server_options options, handler on_request);
    explicit http_server(std::shared_ptr<impl> state);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Returns the port that is bound, also if the requested port was 0.
    std::uint16_t port() const;
    std::size_t open_connections() const;
    /// Returns the number of connections on which a request is being read or has no complete response yet.
    std::size_t busy_connections() const;
    /// Replaces the message limits and timeouts for requests that are read from now on.
    void set_limits(const http_limits& limits, duration header_timeout, duration idle_timeout);
    /// Closes each connection after its next response, so that clients switch to other servers before this
    /// one stops.
    void disable_keep_alive();
    /// Stops accepting connections. Idle ones are closed, unless a request has already arrived on them; the
    /// others are closed after their next response.
    void stop_accepting();

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
