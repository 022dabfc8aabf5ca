#include "httpserver.h"

#include "eventloopimpl.h"
#include "tcpsocket.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace baobabswitch {

namespace {

/// Size of the responses that are always sent, whatever memory other bodies take up.
constexpr std::size_t small_response_bytes = 1024;
/// Input buffered beyond the header limit. Bounds what the parser waits for, such as the end of a chunk's
/// header.
constexpr std::size_t extra_buffer_bytes = std::size_t{64} * 1024;

class session;

} // namespace

struct http_server::impl {
    impl(asio::io_context& context, http_server_options opts, handler fn)
        : acceptor(context),
          options(std::move(opts)),
          on_request(std::move(fn)) {}
    tcp::acceptor acceptor;
    http_server_options options;
    handler on_request;
    std::set<session*> sessions;
    std::size_t busy = 0;                ///< sessions that are neither idle nor closed
    std::size_t buffered_body_bytes = 0; ///< sum over all sessions
    bool accepting = true;
    bool keep_alive = true;
};

namespace {

using server_impl = http_server::impl;

/// How long input is discarded after the response to a request that was not read completely.
constexpr milliseconds lingering_close_timeout{1000};
constexpr std::size_t discard_buffer_bytes = 16 * 1024;

bool requests_close(const http_response& response) {
    const auto value = header_or_empty(response.headers, "Connection");
    return beast::iequals(beast::string_view{value.data(), value.size()}, "close");
}

http_read_error to_read_error(error_code ec) {
    if (ec == http::error::header_limit) {
        return http_read_error::header_too_large;
    }
    if (ec == http::error::body_limit) {
        return http_read_error::body_too_large;
    }
    if (ec == beast::error::timeout) {
        return http_read_error::timeout;
    }
    return http_read_error::malformed;
}

/// One client connection. At most one wait for readability is pending: while a request is being handled, it
/// detects a disconnect of the client; between requests, it starts the next read.
class session final : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::shared_ptr<server_impl> server)
        : stream_(std::move(socket)),
          timer_(stream_.get_executor()),
          server_(std::move(server)) {
        error_code ec;
        remote_host_ = stream_.socket().remote_endpoint(ec).address().to_string(ec);
        server_->sessions.insert(this);
    }
    ~session() {
        enter(state::closed);
        server_->sessions.erase(this);
        release_body_bytes();
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    session(session&&) = delete;
    session& operator=(session&&) = delete;

    void start() {
        await_request();
    }

    const std::string& remote_host() const {
        return remote_host_;
    }

    /// Closes an idle connection. One on which a request has arrived reads it first.
    void close_if_idle() {
        if (state_ == state::idle && peek_input(stream_.socket().native_handle()) != pending_input::bytes) {
            close();
        }
    }

    void on_abandoned(std::uint64_t serial, std::function<void()> fn) {
        if (serial == serial_ && state_ == state::handling) {
            abandoned_callback_ = std::move(fn);
        }
    }

    void respond(std::uint64_t serial, http_response response) {
        if (serial != serial_ || state_ != state::handling) {
            return;
        }
        abandoned_callback_ = nullptr;
        release_body_bytes(); // The request was handed over to the handler.
        const auto n = response.body.size();
        if (n > small_response_bytes && !fits_body_memory(n)) {
            response = json_response(502, R"({"error":"memory-short"})");
        }
        const bool close_requested = requests_close(response);
        write(std::move(response), keep_alive_ && server_->keep_alive && !close_requested);
    }

private:
    enum class state { idle, reading, handling, writing, closed };

    static bool is_busy(state it) {
        return it != state::idle && it != state::closed;
    }

    void enter(state next) {
        server_->busy += is_busy(next) ? 1 : 0;
        server_->busy -= is_busy(state_) ? 1 : 0;
        state_ = next;
    }

    void write(http_response response, bool keep_alive) {
        enter(state::writing);
        add_body_bytes(response.body.size());
        response_.emplace();
        response_->version(11);
        response_->result(response.status);
        for (auto& [name, value] : response.headers) {
            response_->insert(name, value);
        }
        response_->body() = std::move(response.body);
        response_->keep_alive(keep_alive);
        response_->prepare_payload();
        stream_.expires_after(server_->options.body_timeout);
        http::async_write(stream_, *response_,
                          [self = shared_from_this(), keep_alive](error_code ec, std::size_t) {
                              self->stream_.expires_never();
                              self->response_.reset();
                              if (!ec && self->unread_input_) {
                                  self->lingering_close();
                                  return;
                              }
                              if (ec || !keep_alive) {
                                  self->close();
                                  return;
                              }
                              self->await_request();
                          });
    }

    void await_request() {
        enter(state::idle);
        parser_.reset();
        release_body_bytes();
        if (buffer_.size() > 0) {
            read();
            return;
        }
        timer_.expires_after(server_->options.idle_timeout);
        timer_.async_wait([self = weak_from_this()](error_code ec) {
            const auto it = self.lock();
            if (!ec && it && it->state_ == state::idle) {
                it->close();
            }
        });
        await_readable();
    }

    void await_readable() {
        if (wait_pending_) {
            return;
        }
        wait_pending_ = true;
        stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->wait_pending_ = false;
            if (!ec) {
                self->on_readable();
            }
        });
    }

    void on_readable() {
        if (state_ == state::idle) {
            timer_.cancel();
            read();
            return;
        }
        if (state_ != state::handling && state_ != state::writing) {
            return;
        }
        if (!client_closed() || state_ == state::writing) {
            return; // A pipelined request stays in the socket until the response to this one is written.
        }
        const auto fn = std::move(abandoned_callback_);
        close();
        if (fn) {
            fn();
        }
    }

    /// Reports whether the client closed the connection; false while bytes of a next request are unread.
    bool client_closed() {
        return peek_input(stream_.socket().native_handle()) == pending_input::end;
    }

    void read() {
        enter(state::reading);
        buffer_.max_size(server_->options.limits.header_bytes + extra_buffer_bytes);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->options.limits.header_bytes));
        parser_->body_limit(server_->options.limits.body_bytes);
        start_read_timer(server_->options.header_timeout);
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (ec) {
                                        self->on_read_failed(ec);
                                        return;
                                    }
                                    self->admit_body();
                                });
    }

    /// Reserves memory for a body of known length before it is read, or rejects the request.
    void admit_body() {
        const auto length = parser_->content_length().value_or(0);
        if (!fits_body_memory(length)) {
            timer_.cancel();
            reject_unread_request(http_read_error::body_memory_exhausted);
            return;
        }
        add_body_bytes(length);
        send_continue();
    }

    void add_body_bytes(std::size_t n) {
        buffered_bytes_ += n;
        server_->buffered_body_bytes += n;
    }

    void release_body_bytes() {
        server_->buffered_body_bytes -= buffered_bytes_;
        buffered_bytes_ = 0;
    }

    /// Reports whether a body of n bytes fits into max_buffered_body_bytes. If no other body is held, any
    /// size up to http_limits fits, so that a large request is not rejected on every retry.
    bool fits_body_memory(std::size_t n) const {
        const auto limit = server_->options.max_buffered_body_bytes;
        const auto buffered = server_->buffered_body_bytes;
        return limit == 0 || n == 0 || buffered == 0 || buffered + n <= limit;
    }

    void reject_unread_request(http_read_error cause) {
        if (!server_->options.on_read_error) {
            close();
            return;
        }
        auto response = server_->options.on_read_error(cause);
        unread_input_ = true;
        write(std::move(response), false);
    }

    /// Sends 100 Continue if the client expects it; without it curl waits one second before it sends the
    /// body.
    void send_continue() {
        if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
            read_body();
            return;
        }
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(stream_, asio::buffer(continue_response.data(), continue_response.size()),
                          [self = shared_from_this()](error_code ec, std::size_t) {
                              if (ec) {
                                  self->on_read_failed(ec);
                                  return;
                              }
                              self->read_body();
                          });
    }

    void read_body() {
        start_read_timer(server_->options.body_timeout);
        parser_->eager(true);
        read_body_part();
    }

    /// Reads piecewise, so that the size of a chunked body is known while it grows.
    void read_body_part() {
        if (parser_->is_done()) {
            timer_.cancel();
            // Disconnects that have already arrived on other connections are handled before the request.
            asio::post(stream_.get_executor(), [self = shared_from_this()] {
                if (self->state_ == state::reading) {
                    self->dispatch();
                }
            });
            return;
        }
        http::async_read_some(stream_, buffer_, *parser_,
                              [self = shared_from_this()](error_code ec, std::size_t) {
                                  if (ec) {
                                      self->on_read_failed(ec);
                                      return;
                                  }
                                  self->on_body_part();
                              });
    }

    void on_body_part() {
        const auto n = parser_->get().body().size();
        if (n > buffered_bytes_) {
            add_body_bytes(n - buffered_bytes_);
            const auto limit = server_->options.max_buffered_body_bytes;
            if (limit != 0 && server_->buffered_body_bytes > limit) {
                timer_.cancel();
                reject_unread_request(http_read_error::body_memory_exhausted);
                return;
            }
        }
        read_body_part();
    }

    /// Limits the time of a read. The timeout of the stream itself would close the socket, and the client
    /// would get no response.
    void start_read_timer(duration limit) {
        read_timed_out_ = false;
        timer_.expires_after(limit);
        timer_.async_wait([self = weak_from_this()](error_code ec) {
            const auto it = self.lock();
            if (!ec && it && it->state_ == state::reading) {
                it->read_timed_out_ = true;
                it->stream_.cancel();
            }
        });
    }

    void on_read_failed(error_code ec) {
        timer_.cancel();
        if (read_timed_out_) {
            ec = beast::error::timeout;
        }
        const bool disconnected = ec == http::error::end_of_stream || ec == asio::error::connection_reset ||
                                  ec == asio::error::operation_aborted;
        if (disconnected) {
            close();
            return;
        }
        reject_unread_request(to_read_error(ec));
    }

    /// Closes a connection whose client may still be sending, after its input is discarded: a close with
    /// unread input would reset the connection, and the client could lose the response.
    void lingering_close() {
        error_code ec;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
        timer_.expires_after(lingering_close_timeout);
        timer_.async_wait([self = weak_from_this()](error_code code) {
            const auto it = self.lock();
            if (!code && it) {
                it->close();
            }
        });
        discard_input();
    }

    void discard_input() {
        buffer_.clear();
        stream_.async_read_some(buffer_.prepare(discard_buffer_bytes),
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (ec) {
                                        self->close();
                                        return;
                                    }
                                    self->discard_input();
                                });
    }

    void dispatch();

    void close() {
        if (state_ == state::closed) {
            return;
        }
        enter(state::closed);
        timer_.cancel();
        error_code ec;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
        stream_.socket().close(ec);
    }

    beast::tcp_stream stream_;
    asio::steady_timer timer_; ///< limits idle time, reads and the lingering close
    std::shared_ptr<server_impl> server_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    std::function<void()> abandoned_callback_;
    std::string remote_host_;
    std::uint64_t serial_ = 0;
    std::size_t buffered_bytes_ = 0; ///< bodies of the request in progress and of its response
    state state_ = state::idle;
    bool keep_alive_ = true;
    bool wait_pending_ = false;
    bool read_timed_out_ = false;
    bool unread_input_ = false;
};

/// Binds a response to a request by the serial number of the request on its connection, so that a late
/// response can't reach another request of the same client.
class session_exchange final : public http_exchange {
public:
    session_exchange(std::shared_ptr<session> owner, std::uint64_t serial)
        : session_(std::move(owner)),
          serial_(serial) {}
    void respond(http_response response) override {
        session_->respond(serial_, std::move(response));
    }
    void on_abandoned(std::function<void()> fn) override {
        session_->on_abandoned(serial_, std::move(fn));
    }
    const std::string& remote_host() const override {
        return session_->remote_host();
    }

private:
    std::shared_ptr<session> session_;
    std::uint64_t serial_;
};

void session::dispatch() {
    auto message = parser_->release();
    http_request request;
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    for (const auto& field : message) {
        request.headers.emplace_back(std::string{field.name_string()}, std::string{field.value()});
    }
    request.body = std::move(message.body());
    keep_alive_ = message.keep_alive();
    parser_.reset();
    if (request.headers.size() > server_->options.limits.header_count && server_->options.on_read_error) {
        write(server_->options.on_read_error(http_read_error::header_too_large), false);
        return;
    }
    // On a busy VM requests wait in the socket; handling one whose client has disconnected is wasted work.
    if (client_closed()) {
        close();
        return;
    }
    enter(state::handling);
    ++serial_;
    await_readable();
    try {
        server_->on_request(std::move(request),
                            std::make_shared<session_exchange>(shared_from_this(), serial_));
    } catch (...) {
        close(); // The request may have been passed on, so no response can be given.
        throw;
    }
}

void accept_next(const std::shared_ptr<server_impl>& server) {
    server->acceptor.async_accept([server](error_code ec, tcp::socket socket) {
        if (!server->accepting || ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec && server->sessions.size() < server->options.max_connections) {
            error_code ignored;
            socket.set_option(tcp::no_delay{true}, ignored);
            std::make_shared<session>(std::move(socket), server)->start();
        }
        accept_next(server);
    });
}

} // namespace

result<std::unique_ptr<http_server>> http_server::listen(event_loop& loop, const endpoint& address,
                                                         http_server_options options, handler on_request) {
    auto state =
        std::make_shared<impl>(loop.implementation().context, std::move(options), std::move(on_request));
    error_code ec;
    const auto ip = asio::ip::make_address(address.host, ec);
    const tcp::endpoint local{ip, address.port};
    if (!ec) {
        state->acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        state->acceptor.set_option(tcp::acceptor::reuse_address{true}, ec);
        state->acceptor.bind(local, ec);
    }
    if (!ec) {
        state->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return error{error_kind::bad_settings, "can't listen on " + to_string(address) + ": " + ec.message(),
                     "choose an address of this VM and a port that is free"};
    }
    accept_next(state);
    return std::make_unique<http_server>(std::move(state));
}

http_server::http_server(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

http_server::~http_server() {
    stop_accepting();
}

std::uint16_t http_server::port() const {
    error_code ec;
    return impl_->acceptor.local_endpoint(ec).port();
}

std::size_t http_server::open_connections() const {
    return impl_->sessions.size();
}

std::size_t http_server::busy_connections() const {
    return impl_->busy;
}

void http_server::set_limits(const http_limits& limits, duration header_timeout, duration idle_timeout) {
    impl_->options.limits = limits;
    impl_->options.header_timeout = header_timeout;
    impl_->options.idle_timeout = idle_timeout;
}

void http_server::disable_keep_alive() {
    impl_->keep_alive = false;
}

void http_server::stop_accepting() {
    impl_->keep_alive = false;
    impl_->accepting = false;
    error_code ec;
    impl_->acceptor.close(ec);
    const auto sessions = impl_->sessions; // close() changes the set
    for (auto* it : sessions) {
        it->close_if_idle();
    }
}

} // namespace baobabswitch
