#include "httpclient.h"

#include "eventloopimpl.h"
#include "tcpsocket.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <unordered_map>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace baobabswitch {

namespace {

class connection;

/// State of a request from send() to its callback.
struct exchange {
    http_client::exchange_id id = 0;
    endpoint peer;
    http_request request;
    http_client::callback on_result;
    std::optional<asio::steady_timer> timer;
    std::shared_ptr<connection> assigned_connection;
    bool sent = false;
    bool finished = false;
};

/// Connections to one endpoint and the exchanges that wait for a connection.
struct pool {
    std::size_t limit = 0;
    std::size_t open = 0;
    std::size_t connecting = 0;
    std::deque<std::shared_ptr<connection>> idle;
    std::deque<std::shared_ptr<exchange>> waiting;
};

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl> {
    impl(asio::io_context& ctx, http_client_options opts) : context(ctx), options(std::move(opts)) {}

    pool& pool_of(const endpoint& peer);
    void dispatch_waiting(const endpoint& peer);
    void finish(const std::shared_ptr<exchange>& it, http_result outcome);
    void fail(const std::shared_ptr<exchange>& it, http_failure_kind kind, std::string detail);
    void on_connected(const std::shared_ptr<connection>& conn, error_code ec);
    void release(const std::shared_ptr<connection>& conn);
    void close_connection(const std::shared_ptr<connection>& conn);
    void on_timeout(const std::shared_ptr<exchange>& it);

    asio::io_context& context;
    http_client_options options;
    std::map<endpoint, pool> pools;
    std::unordered_map<exchange_id, std::shared_ptr<exchange>> exchanges;
    exchange_id last_id = 0;
    std::size_t open = 0;
    bool closed = false;
};

namespace {

using client_impl = http_client::impl;

/// Number of responses to other requests that are ignored before the exchange fails and its connection is
/// closed.
constexpr unsigned max_mismatched_responses = 4;
/// Status codes of a final response (RFC 9110, 15). Interim ones are never asked for: requests are sent
/// without "Expect".
constexpr unsigned min_final_status = 200;
constexpr unsigned max_final_status = 599;
/// Input buffered beyond the header limit. Bounds what the parser waits for, such as the end of a chunk's
/// header.
constexpr std::size_t extra_buffer_bytes = std::size_t{64} * 1024;

/// Returns 80 % of the idle timeout in a Keep-Alive header, so that the client closes the connection first.
std::optional<duration> parse_keep_alive_timeout(std::string_view keep_alive) {
    constexpr std::string_view name = "timeout=";
    const auto start = keep_alive.find(name);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = keep_alive.substr(start + name.size());
    const auto seconds = parse_number(digits.substr(0, digits.find_first_not_of("0123456789")));
    if (!seconds) {
        return std::nullopt;
    }
    return milliseconds{std::min<std::uint64_t>(*seconds, 3600) * 800};
}

class connection final : public std::enable_shared_from_this<connection> {
public:
    connection(client_impl& client, endpoint peer)
        : client_(client.weak_from_this()),
          peer_(std::move(peer)),
          stream_(client.context) {}

    const endpoint& peer() const {
        return peer_;
    }
    bool is_open() const {
        return open_;
    }
    /// Reports whether nothing has arrived since the last response. Unsolicited bytes, such as a duplicate
    /// response, must not be read as the response to the next request, and after the end of the stream the
    /// connection can't be reused.
    bool has_no_input() {
        return peek_input(stream_.socket().native_handle()) == pending_input::none;
    }
    void mark_idle() {
        idle_since_ = clock::now();
    }

    void connect(const http_client_options& options) {
        error_code ec;
        const tcp::endpoint remote{asio::ip::make_address(peer_.host, ec), peer_.port};
        if (!ec) {
            stream_.socket().open(remote.protocol(), ec);
        }
        if (!ec && !options.source_host.empty()) {
            stream_.socket().bind({asio::ip::make_address(options.source_host, ec), 0}, ec);
        }
        if (ec) {
            asio::post(stream_.get_executor(), [self = shared_from_this(), ec] { self->on_connect(ec); });
            return;
        }
        set_dead_peer_timeouts(stream_.socket().native_handle(), options.user_timeout,
                               options.keepalive_interval);
        stream_.expires_after(options.connect_timeout);
        stream_.async_connect(remote,
                              [self = shared_from_this()](error_code code) { self->on_connect(code); });
    }

    bool is_expired(duration limit) const {
        return clock::now() - idle_since_ > std::min(limit, peer_idle_limit_);
    }

    void start(std::shared_ptr<exchange> it, const http_client_options& options) {
        exchange_ = std::move(it);
        limits_ = options.limits;
        buffer_.max_size(limits_.header_bytes + extra_buffer_bytes);
        hold_body(options.memory);
        mismatched_responses_ = 0;
        correlation_header_ = options.correlation_header;
        require_correlation_ = options.require_correlation;
        expected_id_ = correlation_header_.empty()
                           ? std::string{}
                           : std::string{header_or_empty(exchange_->request.headers, correlation_header_)};
        exchange_->assigned_connection = shared_from_this();
        exchange_->sent = true;
        request_.emplace();
        request_->version(11);
        request_->method_string(exchange_->request.method);
        request_->target(exchange_->request.target);
        if (!find_header(exchange_->request.headers, "Host")) {
            request_->set(http::field::host, to_string(peer_));
        }
        for (const auto& [name, value] : exchange_->request.headers) {
            request_->insert(name, value);
        }
        request_->body() = std::move(exchange_->request.body);
        request_->prepare_payload();
        skip_body_ = exchange_->request.method == "HEAD";
        http::async_write(stream_, *request_, [self = shared_from_this()](error_code ec, std::size_t) {
            self->request_.reset();
            if (ec && self->exchange_) {
                self->on_error(ec);
            }
        });
        read_response();
    }

    /// Closes an idle connection when the peer closes it or sends unsolicited data, so that it isn't reused.
    void watch_for_close() {
        if (read_wait_pending_) {
            return;
        }
        read_wait_pending_ = true;
        stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->read_wait_pending_ = false;
            const auto client = self->client_.lock();
            if (client && !self->exchange_ && ec != asio::error::operation_aborted) {
                client->close_connection(self);
            }
        });
    }

    void close() {
        open_ = false;
        exchange_.reset();
        release_body();
        error_code ec;
        stream_.socket().close(ec);
    }

private:
    void read_response() {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
        parser_->body_limit(limits_.body_bytes);
        parser_->skip(skip_body_);
        parser_->eager(true);
        read_some();
    }

    /// Reads piecewise, so that the size of the body is known while it grows.
    void read_some() {
        http::async_read_some(stream_, buffer_, *parser_,
                              [self = shared_from_this()](error_code ec, std::size_t) { self->on_read(ec); });
    }

    void on_read(error_code ec) {
        if (!exchange_) {
            return;
        }
        if (ec) {
            on_error(ec);
            return;
        }
        if (body_holder_) {
            // May evict this body, which closes the connection.
            memory_->resize(*body_holder_, parser_->get().body().size());
        }
        if (!exchange_) {
            return;
        }
        if (!parser_->is_done()) {
            read_some();
            return;
        }
        on_response();
    }

    void hold_body(const std::shared_ptr<body_memory>& memory) {
        if (!memory) {
            return;
        }
        memory_ = memory;
        body_holder_ = memory->add([self = weak_from_this()] {
            if (const auto conn = self.lock()) {
                conn->body_holder_.reset();
                conn->on_evicted();
            }
        });
    }

    void release_body() {
        if (body_holder_) {
            memory_->remove(*body_holder_);
            body_holder_.reset();
        }
    }

    void on_evicted() {
        const auto client = client_.lock();
        const auto it = exchange_;
        if (!client || !it) {
            return;
        }
        client->close_connection(shared_from_this());
        client->fail(it, http_failure_kind::memory_exhausted,
                     "the bodies of all responses exceed their memory");
    }

    /// Reports whether the response carries the correlation id of another request.
    bool has_mismatched_id(const http_response& response) const {
        if (expected_id_.empty()) {
            return false;
        }
        const auto id = find_header(response.headers, correlation_header_);
        return id && *id != expected_id_;
    }

    bool lacks_required_id(const http_response& response) const {
        return require_correlation_ && !expected_id_.empty() &&
               !find_header(response.headers, correlation_header_);
    }

    void on_connect(error_code ec) {
        stream_.expires_never();
        if (!ec) {
            open_ = true;
            stream_.socket().set_option(tcp::no_delay{true}, ec);
            ec = {};
        }
        if (const auto client = client_.lock()) {
            client->on_connected(shared_from_this(), ec);
        }
    }

    void on_response() {
        const auto status = parser_->get().result_int();
        if (status < min_final_status || status > max_final_status) {
            on_error(http::error::bad_status);
            return;
        }
        auto message = parser_->release();
        http_response response;
        response.status = message.result_int();
        for (const auto& field : message) {
            response.headers.emplace_back(std::string{field.name_string()}, std::string{field.value()});
        }
        response.body = std::move(message.body());
        if (has_mismatched_id(response) && message.keep_alive() &&
            ++mismatched_responses_ <= max_mismatched_responses) {
            read_response();
            return;
        }
        if (has_mismatched_id(response) || lacks_required_id(response)) {
            on_error(http::error::bad_field);
            return;
        }
        if (const auto limit = parse_keep_alive_timeout(header_or_empty(response.headers, "Keep-Alive"))) {
            peer_idle_limit_ = *limit;
        }
        // The connection can't be reused while the request is still being written, nor after a mismatched
        // response, because more of these may follow.
        const bool keep = message.keep_alive() && !request_ && mismatched_responses_ == 0;
        const auto client = client_.lock();
        const auto it = std::move(exchange_);
        exchange_.reset();
        if (!client) {
            return;
        }
        release_body();
        // Bytes after the response belong to no request, so the connection can't be reused.
        if (keep && buffer_.size() == 0) {
            client->release(shared_from_this());
        } else {
            client->close_connection(shared_from_this());
        }
        client->finish(it, std::move(response));
    }

    void on_error(error_code ec) {
        const auto client = client_.lock();
        const auto it = exchange_;
        if (!client || !it) {
            return;
        }
        const bool started = parser_ && parser_->got_some();
        auto kind = http_failure_kind::connection_lost;
        if (ec == http::error::partial_message || (started && ec == asio::error::connection_reset)) {
            kind = http_failure_kind::truncated;
        } else if (ec.category() == http::make_error_code(http::error::bad_version).category() &&
                   ec != http::error::end_of_stream) {
            kind = http_failure_kind::malformed;
        }
        client->close_connection(shared_from_this());
        client->fail(it, kind, ec.message());
    }

    std::weak_ptr<client_impl> client_;
    endpoint peer_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request<http::string_body>> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::shared_ptr<exchange> exchange_;
    http_limits limits_;
    std::string correlation_header_;
    std::string expected_id_;
    bool require_correlation_ = false;
    std::shared_ptr<body_memory> memory_;
    std::optional<body_memory::holder_id> body_holder_; ///< of the response that is being read
    unsigned mismatched_responses_ = 0;
    time_point idle_since_;
    duration peer_idle_limit_ = duration::max();
    bool skip_body_ = false;
    bool open_ = false;
    bool read_wait_pending_ = false;
};

} // namespace

pool& http_client::impl::pool_of(const endpoint& peer) {
    auto [it, inserted] = pools.try_emplace(peer);
    if (inserted) {
        it->second.limit = options.max_connections_per_endpoint;
    }
    return it->second;
}

void http_client::impl::dispatch_waiting(const endpoint& peer) {
    auto& it = pool_of(peer);
    while (!it.waiting.empty() && !it.idle.empty()) {
        const auto conn = it.idle.back();
        it.idle.pop_back();
        if (!conn->is_open() || !conn->has_no_input() || conn->is_expired(options.idle_timeout)) {
            close_connection(conn);
            continue;
        }
        const auto next = it.waiting.front();
        it.waiting.pop_front();
        if (next->finished) {
            it.idle.push_back(conn);
            continue;
        }
        conn->start(next, options);
    }
    while (it.waiting.size() > it.connecting && it.open < it.limit &&
           it.connecting < options.max_connecting_per_endpoint) {
        ++it.open;
        ++it.connecting;
        ++open;
        std::make_shared<connection>(*this, peer)->connect(options);
    }
}

void http_client::impl::on_connected(const std::shared_ptr<connection>& conn, error_code ec) {
    auto& it = pool_of(conn->peer());
    --it.connecting;
    if (!ec) {
        release(conn);
        return;
    }
    --it.open;
    --open;
    // The peer is unreachable: all exchanges that wait for a connection to it fail; none of them was sent.
    auto waiting = std::move(it.waiting);
    it.waiting.clear();
    for (const auto& next : waiting) {
        fail(next, http_failure_kind::connect_failed, ec.message());
    }
}

void http_client::impl::release(const std::shared_ptr<connection>& conn) {
    auto& it = pool_of(conn->peer());
    conn->mark_idle();
    conn->watch_for_close();
    it.idle.push_back(conn);
    dispatch_waiting(conn->peer());
}

void http_client::impl::close_connection(const std::shared_ptr<connection>& conn) {
    if (!conn->is_open()) {
        return;
    }
    auto& it = pool_of(conn->peer());
    std::erase(it.idle, conn);
    conn->close();
    --it.open;
    --open;
    asio::post(context, [self = weak_from_this(), peer = conn->peer()] {
        if (const auto client = self.lock()) {
            client->dispatch_waiting(peer);
        }
    });
}

void http_client::impl::finish(const std::shared_ptr<exchange>& it, http_result outcome) {
    if (it->finished) {
        return;
    }
    it->finished = true;
    it->timer.reset();
    it->assigned_connection.reset();
    exchanges.erase(it->id);
    const auto fn = std::move(it->on_result);
    fn(std::move(outcome));
}

void http_client::impl::fail(const std::shared_ptr<exchange>& it, http_failure_kind kind,
                             std::string detail) {
    finish(it, http_failure{kind, it->sent, std::move(detail)});
}

void http_client::impl::on_timeout(const std::shared_ptr<exchange>& it) {
    if (it->finished) {
        return;
    }
    if (const auto conn = it->assigned_connection) {
        close_connection(conn);
    } else {
        std::erase(pool_of(it->peer).waiting, it);
    }
    fail(it, http_failure_kind::timeout, "no answer in time");
}

http_client::http_client(event_loop& loop, http_client_options options)
    : impl_(std::make_shared<impl>(loop.implementation().context, std::move(options))) {}

http_client::~http_client() {
    // Breaks the reference cycle between an exchange and its assigned connection.
    for (const auto& [id, it] : impl_->exchanges) {
        it->assigned_connection.reset();
    }
}

http_client::exchange_id http_client::send(const endpoint& peer, http_request request, duration timeout,
                                           callback on_result) {
    auto it = std::make_shared<exchange>();
    it->id = ++impl_->last_id;
    it->peer = peer;
    it->request = std::move(request);
    it->on_result = std::move(on_result);
    it->timer.emplace(impl_->context);
    it->timer->expires_after(timeout);
    it->timer->async_wait([self = impl_->weak_from_this(), weak = std::weak_ptr{it}](error_code ec) {
        const auto client = self.lock();
        const auto expired = weak.lock();
        if (!ec && client && expired) {
            client->on_timeout(expired);
        }
    });
    impl_->exchanges.emplace(it->id, it);
    auto& waiting = impl_->pool_of(peer).waiting;
    if (waiting.size() >= impl_->options.max_waiting_per_endpoint) {
        asio::post(impl_->context, [self = impl_, it] {
            self->fail(it, http_failure_kind::wait_queue_full, "too many requests wait for a connection");
        });
        return it->id;
    }
    waiting.push_back(it);
    impl_->dispatch_waiting(peer);
    return it->id;
}

void http_client::cancel(exchange_id id) {
    const auto found = impl_->exchanges.find(id);
    if (found == impl_->exchanges.end()) {
        return;
    }
    const auto it = found->second;
    if (const auto conn = it->assigned_connection) {
        impl_->close_connection(conn);
    } else {
        std::erase(impl_->pool_of(it->peer).waiting, it);
    }
    asio::post(impl_->context,
               [self = impl_, it] { self->fail(it, http_failure_kind::cancelled, "cancelled"); });
}

bool http_client::cancel_if_unsent(exchange_id id) {
    const auto found = impl_->exchanges.find(id);
    if (found == impl_->exchanges.end() || found->second->sent) {
        return false;
    }
    cancel(id);
    return true;
}

void http_client::limit_connections(const endpoint& peer, std::size_t n) {
    impl_->pool_of(peer).limit = n;
}

std::size_t http_client::open_connections() const {
    return impl_->open;
}

} // namespace baobabswitch
