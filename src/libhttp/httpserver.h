#pragma once

#include "eventloop.h"
#include "httpmessage.h"

#include <functional>
#include <memory>

namespace baobabswitch {

/// Why a request could not be read.
enum class http_read_error {
    malformed,
    header_too_large,
    body_too_large,
    timeout,
    body_memory_exhausted ///< the bodies held by the server leave no room for this one
};

/// One request that awaits its answer. Event loop thread only.
class http_exchange {
public:
    http_exchange() = default;
    virtual ~http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;

    /// Sends the answer; later calls are ignored, so that a request is answered once. An answer with
    /// "Connection: close" ends the connection.
    virtual void respond(http_response response) = 0;
    /// Calls the function if the client closes the connection before the answer.
    virtual void on_abandoned(std::function<void()> fn) = 0;
    /// Returns the client's IP address.
    virtual const std::string& remote_host() const = 0;
};

struct http_server_options {
    http_limits limits;
    std::size_t max_connections = 8192;
    /// Bound on the bodies of all requests in progress and of answers that clients did not take yet; 0: none.
    std::size_t max_buffered_body_bytes = 0;
    duration idle_timeout = std::chrono::seconds{60};
    duration header_timeout = std::chrono::seconds{5};
    duration body_timeout = std::chrono::seconds{10};
    /// Builds the answer to a request that could not be read.
    std::function<http_response(http_read_error)> on_read_error;
};

/// HTTP/1.1 server with kept-alive connections on the event loop.
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    struct impl;

    /// Starts to listen. Fails with bad_settings when the address can't be bound.
    static result<std::unique_ptr<http_server>> listen(event_loop& loop, const endpoint& address,
                                                       http_server_options options, handler on_request);
    explicit http_server(std::shared_ptr<impl> state);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Returns the port in use, also when the address asked for any.
    std::uint16_t port() const;
    std::size_t open_connections() const;
    /// Replaces the bounds on what clients may send and on their idle time, for requests read from now on.
    void set_limits(const http_limits& limits, duration header_timeout, duration idle_timeout);
    /// Ends each connection after its next answer, so that clients move elsewhere before this server stops.
    void disable_keep_alive();
    /// Accepts no more connections; open ones go on.
    void stop_accepting();

private:
    std::shared_ptr<impl> impl_;
};

} // namespace baobabswitch
