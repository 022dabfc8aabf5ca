#include "proxy.h"

#include "eventloopimpl.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <set>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace baobabswitch {

namespace {

constexpr std::size_t buffer_bytes = 16 * 1024;
/// Delay of the copy that repeat_answer sends.
constexpr milliseconds repeat_delay{50};

class relay;

} // namespace

struct fault_proxy::impl : std::enable_shared_from_this<impl> {
    impl(asio::io_context& ctx, std::uint64_t seed) : context(ctx), rng(seed) {}

    void accept(const std::shared_ptr<tcp::acceptor>& acceptor, const endpoint& destination);
    bool draw(double share) {
        return share > 0 && std::bernoulli_distribution{std::min(share, 1.0)}(rng);
    }

    asio::io_context& context;
    std::mt19937_64 rng;
    std::vector<fault_rule> rules;
    std::map<std::string, std::uint64_t> counts;
    std::set<std::shared_ptr<relay>> relays;
};

namespace {

/// One direction of a connection, with the queue of received chunks and the earliest time to forward each.
struct direction {
    direction(tcp::socket& source, tcp::socket& sink, asio::io_context& context)
        : from(source),
          to(sink),
          timer(context) {}

    struct chunk {
        std::string bytes;
        time_point due;
        bool close_after = false; ///< closes the connection after this chunk
    };

    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    std::array<char, buffer_bytes> buffer{};
    std::deque<chunk> queue;
    bool writing = false;
    bool lost = false;    ///< bytes were dropped, so the stream can't continue
    bool endless = false; ///< filler follows without end
};

/// One proxied connection.
class relay : public std::enable_shared_from_this<relay> {
public:
    relay(std::shared_ptr<fault_proxy::impl> owner, tcp::socket client, endpoint destination)
        : owner_(std::move(owner)),
          client_(std::move(client)),
          server_(owner_->context),
          request_(client_, server_, owner_->context),
          answer_(server_, client_, owner_->context),
          destination_(std::move(destination)) {
        error_code ec;
        source_ = client_.remote_endpoint(ec).address().to_string();
    }

    fault_rule rule() const {
        return combine(owner_->rules, source_, destination_);
    }

    void start() {
        if (rule().cut) {
            ++owner_->counts["refused"];
            close();
            return;
        }
        error_code ec;
        const tcp::endpoint peer{asio::ip::make_address(destination_.host, ec), destination_.port};
        server_.async_connect(peer, [self = shared_from_this()](error_code failed) {
            if (failed) {
                self->close();
                return;
            }
            error_code ignored;
            self->client_.set_option(tcp::no_delay{true}, ignored);
            self->server_.set_option(tcp::no_delay{true}, ignored);
            self->read(self->request_);
            self->read(self->answer_);
        });
    }

    /// Closes the connection if a rule with `cut` matches it.
    void apply_rules() {
        if (rule().cut) {
            ++owner_->counts["cut"];
            close();
        }
    }

    void close() {
        const auto self = shared_from_this();
        error_code ec;
        client_.close(ec);
        server_.close(ec);
        request_.timer.cancel();
        answer_.timer.cancel();
        owner_->relays.erase(self);
    }

private:
    void read(direction& it) {
        it.from.async_read_some(asio::buffer(it.buffer),
                                [self = shared_from_this(), &it](error_code ec, std::size_t n) {
                                    if (ec) {
                                        self->enqueue(it, "", true);
                                        return;
                                    }
                                    self->on_bytes(it, std::string{it.buffer.data(), n});
                                    if (self->client_.is_open()) {
                                        self->read(it);
                                    }
                                });
    }

    void on_bytes(direction& it, std::string bytes) {
        const auto faults = rule();
        const bool to_server = &it == &request_;
        const bool first = to_server != last_to_server_;
        last_to_server_ = to_server;
        if (to_server ? faults.lose_to : faults.lose_back) {
            ++owner_->counts[to_server ? "lost-to" : "lost-back"];
            it.lost = true;
            return;
        }
        if (it.lost) {
            close();
            return;
        }
        if (it.endless) {
            return;
        }
        if (to_server) {
            const bool close_after = first && should_inject("cut-after-request", faults.cut_after_request);
            enqueue(it, std::move(bytes), close_after);
            return;
        }
        if (first && should_inject("cut-answer", faults.cut_answer)) {
            enqueue(it, "", true);
        } else if (first && should_inject("half-answer", faults.half_answer)) {
            enqueue(it, bytes.substr(0, bytes.size() / 2), true);
        } else if (first && should_inject("garbage-answer", faults.garbage_answer)) {
            std::uniform_int_distribution<int> any{0, 255};
            std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(any(owner_->rng)); });
            enqueue(it, std::move(bytes), true);
        } else if (first && should_inject("endless-answer", faults.endless_answer)) {
            it.endless = true;
            const bool in_head = owner_->draw(0.5);
            enqueue(it, in_head ? "HTTP/1.1 200 OK\r\nX-Filler: " : "HTTP/1.1 200 OK\r\n\r\n", false);
        } else {
            if (first && should_inject("repeat-answer", faults.repeat_answer)) {
                repeat_later(it, bytes);
            }
            enqueue(it, std::move(bytes), false);
        }
    }

    void repeat_later(direction& it, std::string bytes) {
        const auto timer = std::make_shared<asio::steady_timer>(owner_->context, repeat_delay);
        timer->async_wait(
            [self = shared_from_this(), &it, timer, bytes = std::move(bytes)](error_code ec) mutable {
                if (!ec && self->client_.is_open()) {
                    self->enqueue(it, std::move(bytes), false);
                }
            });
    }

    bool should_inject(const char* name, double share) {
        if (!owner_->draw(share)) {
            return false;
        }
        ++owner_->counts[name];
        return true;
    }

    void enqueue(direction& it, std::string bytes, bool close_after) {
        const auto faults = rule();
        const double jitter = std::uniform_real_distribution<double>{0, 1}(owner_->rng) * faults.jitter_ms;
        const std::chrono::duration<double, std::milli> delay{faults.delay_ms + jitter};
        auto due = clock::now() + std::chrono::duration_cast<duration>(delay);
        if (!it.queue.empty()) {
            due = std::max(due, it.queue.back().due);
        }
        it.queue.push_back({std::move(bytes), due, close_after});
        write_next(it);
    }

    void write_next(direction& it) {
        if (it.writing || it.queue.empty() || !client_.is_open()) {
            return;
        }
        it.writing = true;
        if (it.queue.front().due <= clock::now()) {
            write(it);
            return;
        }
        it.timer.expires_at(it.queue.front().due);
        it.timer.async_wait([self = shared_from_this(), &it](error_code ec) {
            if (!ec) {
                self->write(it);
            }
        });
    }

    void write(direction& it) {
        asio::async_write(it.to, asio::buffer(it.queue.front().bytes),
                          [self = shared_from_this(), &it](error_code ec, std::size_t) {
                              if (ec || it.queue.front().close_after) {
                                  self->close();
                                  return;
                              }
                              it.queue.pop_front();
                              it.writing = false;
                              if (it.endless && it.queue.empty()) {
                                  self->enqueue(it, std::string(buffer_bytes, 'x'), false);
                                  return;
                              }
                              self->write_next(it);
                          });
    }

    std::shared_ptr<fault_proxy::impl> owner_;
    tcp::socket client_;
    tcp::socket server_;
    direction request_;
    direction answer_;
    endpoint destination_;
    std::string source_;
    bool last_to_server_ = false;
};

} // namespace

void fault_proxy::impl::accept(const std::shared_ptr<tcp::acceptor>& acceptor, const endpoint& destination) {
    acceptor->async_accept(
        [self = shared_from_this(), acceptor, destination](error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                const auto it = std::make_shared<relay>(self, std::move(socket), destination);
                self->relays.insert(it);
                it->start();
            }
            self->accept(acceptor, destination);
        });
}

result<std::unique_ptr<fault_proxy>>
fault_proxy::create(event_loop& loop, const std::vector<forwarding>& pairs, std::uint64_t seed) {
    auto state = std::make_shared<impl>(loop.implementation().context, seed);
    for (const auto& it : pairs) {
        error_code ec;
        const tcp::endpoint local{asio::ip::make_address(it.listen.host, ec), it.listen.port};
        auto acceptor = std::make_shared<tcp::acceptor>(state->context);
        acceptor->open(tcp::v4(), ec);
        acceptor->set_option(tcp::acceptor::reuse_address{true}, ec);
        acceptor->bind(local, ec);
        if (!ec) {
            acceptor->listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec) {
            return error{error_kind::bad_settings,
                         "can't listen on " + to_string(it.listen) + ": " + ec.message(),
                         "choose a local address and a free port"};
        }
        state->accept(acceptor, it.forward);
    }
    return std::make_unique<fault_proxy>(std::move(state));
}

fault_proxy::fault_proxy(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

fault_proxy::~fault_proxy() = default;

void fault_proxy::set_rules(std::vector<fault_rule> rules) {
    impl_->rules = std::move(rules);
    const auto relays = impl_->relays;
    for (const auto& it : relays) {
        it->apply_rules();
    }
}

const std::map<std::string, std::uint64_t>& fault_proxy::counts() const {
    return impl_->counts;
}

} // namespace baobabswitch
