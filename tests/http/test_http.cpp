#include "eventloopimpl.h"
#include "httpclient.h"
#include "httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace baobabswitch;
namespace asio = boost::asio;

namespace {

constexpr milliseconds long_timeout{2000};

} // namespace

TEST_CASE("a late response is not delivered to the next request", "[http]") {
    // Guards against reuse of a connection after a timeout: the response to the request that timed out would
    // be read as the response to the next one.
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> pending_exchanges;
    auto server = http_server::listen(loop, {"127.0.0.1", 0}, {}, [&](http_request request, auto exchange) {
        if (request.target == "/slow") {
            pending_exchanges.push_back(exchange);
            return;
        }
        exchange->respond({200, {}, "fast"});
    });
    REQUIRE(server);
    const endpoint address{"127.0.0.1", server.value()->port()};
    http_client_options options;
    options.max_connections_per_endpoint = 1;
    http_client client{loop, options};
    std::string body;
    client.send(address, {"GET", "/slow", {}, ""}, milliseconds{50}, [&](http_result first) {
        const auto* failure = std::get_if<http_failure>(&first);
        REQUIRE(failure != nullptr);
        CHECK(failure->kind == http_failure_kind::timeout);
        CHECK(failure->sent);
        client.send(address, {"GET", "/fast", {}, ""}, long_timeout, [&](http_result second) {
            body = std::get<http_response>(second).body;
            loop.stop();
        });
        pending_exchanges.front()->respond({200, {}, "slow"});
    });
    loop.run();
    CHECK(body == "fast");
}

TEST_CASE("a duplicate response is not delivered to the next request", "[http]") {
    // Guards against a second response to one request being read as the response to the next request (P3).
    // The peer sends it before the client has noticed input on the idle connection.
    event_loop loop;
    auto& context = loop.implementation().context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> open;
    std::string buf(4096, ' ');
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](boost::system::error_code, asio::ip::tcp::socket socket) {
            open.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(socket)));
            open.back()->async_read_some(asio::buffer(buf), [&](boost::system::error_code, std::size_t) {
                asio::write(*open.back(), asio::buffer(response + (open.size() == 1 ? "one" : "two")));
            });
            accept();
        });
    };
    accept();
    const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    http_client client{loop, {}};
    std::string body;
    client.send(address, {"GET", "/", {}, ""}, long_timeout, [&](const http_result&) {
        asio::write(*open.front(), asio::buffer(response + "bad"));
        client.send(address, {"GET", "/", {}, ""}, long_timeout, [&](http_result second) {
            body = std::get<http_response>(second).body;
            loop.stop();
        });
    });
    loop.run();
    CHECK(body == "two");
}

TEST_CASE("a request on a refused connection is reported as not sent", "[http]") {
    // Guards against a request that never left the client being reported as possibly processed by the peer.
    event_loop loop;
    http_client client{loop, {}};
    std::optional<http_failure> failure;
    client.send({"127.0.0.1", 1}, {"GET", "/", {}, ""}, long_timeout, [&](http_result outcome) {
        failure = std::get<http_failure>(outcome);
        loop.stop();
    });
    loop.run();
    REQUIRE(failure);
    CHECK(failure->kind == http_failure_kind::connect_failed);
    CHECK_FALSE(failure->sent);
}

TEST_CASE("a client that disconnects before the response is detected", "[http]") {
    // Guards against continued work on a request whose client timed out and closed the connection.
    event_loop loop;
    bool disconnect_detected = false;
    auto server = http_server::listen(loop, {"127.0.0.1", 0}, {}, [&](const http_request&, auto exchange) {
        exchange->on_abandoned([&] {
            disconnect_detected = true;
            loop.stop();
        });
    });
    REQUIRE(server);
    http_client client{loop, {}};
    client.send({"127.0.0.1", server.value()->port()}, {"GET", "/", {}, ""}, milliseconds{50},
                [](const http_result&) {});
    loop.schedule(long_timeout, [&] { loop.stop(); });
    loop.run();
    CHECK(disconnect_detected);
}

// Guards against a missed disconnect of a client whose request arrived in several pieces.
TEST_CASE("clients that disconnect after sending a request in pieces are detected", "[http]") {
    constexpr int clients = 3000;
    event_loop loop;
    int handled = 0;
    int disconnected = 0;
    auto server = http_server::listen(
        loop, {"127.0.0.1", 0}, {}, [&](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
            ++handled;
            exchange->on_abandoned([&disconnected, exchange] { ++disconnected; });
        });
    REQUIRE(server);
    const auto port = server.value()->port();
    std::thread sender{[&loop, port] {
        asio::io_context context;
        const std::array<std::string, 3> pieces{"GET / HTTP/1.1\r\n", "Host: a\r\n", "\r\n"};
        for (int n = 0; n < clients; ++n) {
            asio::ip::tcp::socket socket{context};
            socket.connect({asio::ip::make_address("127.0.0.1"), port});
            socket.set_option(asio::ip::tcp::no_delay{true});
            for (const auto& piece : pieces) {
                asio::write(socket, asio::buffer(piece));
            }
            std::this_thread::sleep_for(std::chrono::microseconds{200});
        }
        std::this_thread::sleep_for(milliseconds{100});
        loop.stop();
    }};
    loop.run();
    sender.join();
    CHECK(handled > clients / 2);
    CHECK(disconnected == handled);
}

// Guards against handling requests that waited in the socket of a busy VM while their clients disconnected.
TEST_CASE("a request whose client disconnected before it was read is not handled", "[http]") {
    event_loop loop;
    unsigned handled = 0;
    auto server = http_server::listen(
        loop, {"127.0.0.1", 0}, {}, [&](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
            ++handled;
            exchange->respond({200, {}, ""});
        });
    REQUIRE(server);
    asio::ip::tcp::socket client{loop.implementation().context};
    client.connect({asio::ip::make_address("127.0.0.1"), server.value()->port()});
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(client, asio::buffer(request));
    client.close();
    loop.schedule(milliseconds{100}, [&] { loop.stop(); });
    loop.run();
    CHECK(handled == 0);
    CHECK(server.value()->open_connections() == 0);
}

TEST_CASE("a body over the limit is rejected with the configured response", "[http]") {
    // Guards against a body over body_bytes reaching the handler, and against a close without a response.
    event_loop loop;
    http_server_options options;
    options.limits.body_bytes = 10;
    options.on_read_error = [](http_read_error kind) {
        return http_response{kind == http_read_error::body_too_large ? 413U : 400U, {}, ""};
    };
    auto server = http_server::listen(loop, {"127.0.0.1", 0}, options,
                                      [](const http_request&, auto) { FAIL("not reached"); });
    REQUIRE(server);
    http_client client{loop, {}};
    unsigned status = 0;
    client.send({"127.0.0.1", server.value()->port()}, {"POST", "/", {}, std::string(100, 'x')}, long_timeout,
                [&](http_result outcome) {
                    status = std::get<http_response>(outcome).status;
                    loop.stop();
                });
    loop.run();
    CHECK(status == 413);
}

// Guards against memory exhaustion of a VM by many concurrent large bodies.
TEST_CASE("bodies over the memory limit are rejected until other requests complete", "[http]") {
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> pending_exchanges;
    http_server_options options;
    options.max_buffered_body_bytes = 100'000;
    options.on_read_error = [](http_read_error cause) {
        return json_response(cause == http_read_error::body_memory_exhausted ? 503 : 400, "{}");
    };
    auto server =
        http_server::listen(loop, {"127.0.0.1", 0}, options,
                            [&](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
                                pending_exchanges.push_back(exchange);
                            });
    REQUIRE(server);
    const endpoint address{"127.0.0.1", server.value()->port()};
    http_client client{loop, {}};
    std::vector<unsigned> statuses;
    const auto upload = [&](std::size_t bytes) {
        client.send(address, {"POST", "/", {}, std::string(bytes, 'x')}, long_timeout,
                    [&](const http_result& it) {
                        const auto* response = std::get_if<http_response>(&it);
                        statuses.push_back(response == nullptr ? 0 : response->status);
                    });
    };
    const auto run_for = [&](milliseconds time) {
        loop.schedule(time, [&] { loop.stop(); });
        loop.run();
    };
    upload(60'000);
    run_for(milliseconds{50});
    upload(60'000);
    run_for(milliseconds{50});
    CHECK(pending_exchanges.size() == 1);
    CHECK(statuses == std::vector{503U});
    pending_exchanges.front()->respond({200, {}, ""});
    pending_exchanges.clear();
    run_for(milliseconds{50});
    // A single body is accepted even if it is larger than the limit.
    upload(150'000);
    run_for(milliseconds{50});
    CHECK(pending_exchanges.size() == 1);
    pending_exchanges.front()->respond({200, {}, ""});
    run_for(milliseconds{50});
    CHECK(statuses == std::vector{503U, 200U, 200U});
}

TEST_CASE("a client that sends too slowly gets the configured response", "[http]") {
    // Guards against slow senders that occupy connections, and against a close without a response.
    event_loop loop;
    http_server_options options;
    options.header_timeout = milliseconds{50};
    options.body_timeout = milliseconds{50};
    int slow = 0;
    options.on_read_error = [&](http_read_error kind) {
        slow += kind == http_read_error::timeout ? 1 : 0;
        return http_response{408, {}, ""};
    };
    auto server = http_server::listen(loop, {"127.0.0.1", 0}, options,
                                      [](const http_request&, auto) { FAIL("not reached"); });
    REQUIRE(server);
    for (const std::string text : {"POST / HT", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"}) {
        asio::ip::tcp::socket client{loop.implementation().context};
        client.connect({asio::ip::make_address("127.0.0.1"), server.value()->port()});
        asio::write(client, asio::buffer(text));
        std::string response;
        asio::async_read_until(client, asio::dynamic_buffer(response), "\r\n",
                               [&](boost::system::error_code, std::size_t) { loop.stop(); });
        loop.run();
        loop.implementation().context.restart();
        CHECK(response.starts_with("HTTP/1.1 408"));
    }
    CHECK(slow == 2);
}

TEST_CASE("a client that is still sending gets the rejection of its large body", "[http]") {
    // Guards against a connection reset that discards the response before the client has read it.
    event_loop loop;
    http_server_options options;
    options.on_read_error = [](http_read_error) {
        return http_response{413, {}, ""};
    };
    auto server = http_server::listen(loop, {"127.0.0.1", 0}, options,
                                      [](const http_request&, auto) { FAIL("not reached"); });
    REQUIRE(server);
    http_client client{loop, {}};
    unsigned status = 0;
    client.send({"127.0.0.1", server.value()->port()}, {"POST", "/", {}, std::string(20'000'000, 'x')},
                long_timeout, [&](http_result outcome) {
                    const auto* response = std::get_if<http_response>(&outcome);
                    status = response == nullptr ? 0 : response->status;
                    loop.stop();
                });
    loop.run();
    CHECK(status == 413);
}

TEST_CASE("a client that expects 100 Continue gets it before it sends its body", "[http]") {
    // Guards against the delay of one second that curl adds when Expect gets no response.
    event_loop loop;
    auto& context = loop.implementation().context;
    auto server =
        http_server::listen(loop, {"127.0.0.1", 0}, {}, [](const http_request& request, auto exchange) {
            exchange->respond({200, {}, request.body});
        });
    REQUIRE(server);
    asio::ip::tcp::socket client{context};
    client.connect({asio::ip::make_address("127.0.0.1"), server.value()->port()});
    asio::write(client, asio::buffer(std::string{
                            "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"}));
    std::string response;
    asio::async_read_until(
        client, asio::dynamic_buffer(response), "\r\n\r\n", [&](boost::system::error_code, std::size_t) {
            CHECK(response.starts_with("HTTP/1.1 100"));
            response.clear();
            asio::write(client, asio::buffer(std::string{"ok"}));
            asio::async_read_until(client, asio::dynamic_buffer(response), "\r\n\r\nok",
                                   [&](boost::system::error_code, std::size_t) { loop.stop(); });
        });
    loop.run();
    CHECK(response.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a response with the id of another request is ignored", "[http]") {
    // Guards against a late duplicate response that is read in place of the next response.
    event_loop loop;
    auto& context = loop.implementation().context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::tcp::socket peer{context};
    std::string buf(4096, ' ');
    const auto make_response = [](const std::string& id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 3\r\n\r\n" + body;
    };
    acceptor.async_accept(peer, [&](boost::system::error_code) {
        peer.async_read_some(asio::buffer(buf), [&](boost::system::error_code, std::size_t) {
            asio::write(peer, asio::buffer(make_response("old", "bad") + make_response("new", "own")));
        });
    });
    http_client_options options;
    options.correlation_header = "X-Id";
    http_client client{loop, options};
    std::string body;
    const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    client.send(address, {"GET", "/", {{"X-Id", "new"}}, ""}, long_timeout, [&](http_result result) {
        if (const auto* response = std::get_if<http_response>(&result)) {
            body = response->body;
        }
        loop.stop();
    });
    loop.run();
    CHECK(body == "own");
    CHECK(client.open_connections() == 0); // The connection is not reused.
}
