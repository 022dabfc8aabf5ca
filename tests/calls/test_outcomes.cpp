#include "callrig.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace callrig;
namespace asio = boost::asio;

namespace {

/// A target that sends fixed bytes in response to each request, then closes the connection or keeps it open.
struct raw_target {
    raw_target(test_cluster& owner, std::string bytes, bool close_after)
        : acceptor(owner.loop.implementation().context, {asio::ip::make_address("127.0.0.1"), 0}),
          answer(std::move(bytes)),
          closes(close_after) {
        accept();
    }
    void accept() {
        acceptor.async_accept([this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto it = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            open.push_back(it);
            serve(it);
            accept();
        });
    }
    void serve(const std::shared_ptr<asio::ip::tcp::socket>& it) {
        it->async_read_some(asio::buffer(buf), [this, it](boost::system::error_code ec, std::size_t) {
            if (ec) {
                return;
            }
            ++requests;
            boost::system::error_code ignored;
            asio::write(*it, asio::buffer(answer), ignored);
            if (closes) {
                it->close();
                return;
            }
            serve(it);
        });
    }
    asio::ip::tcp::acceptor acceptor;
    std::string answer;
    bool closes;
    int requests = 0;
    std::array<char, 4096> buf{};
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> open;
};

} // namespace

TEST_CASE("the outcome is derived from the target's response", "[calls]") {
    // Guards against "not run" for a call that may have started, "done" for a cancelled one, and a target
    // that forges internal headers (guarantee P4).
    test_cluster it{2};
    http_response answer;
    it.add_target(2, [&](const http_request&, const auto& exchange) { exchange->respond(answer); });
    struct example {
        http_response answer;
        std::string outcome;
        std::string cause;
        unsigned status;
    };
    const std::vector<example> examples{
        {{503, {{"Baobab-Not-Run", "1"}}, ""}, "not-run", "shed", 503},
        {{503, {{"Baobab-Cancelled", "1"}}, ""}, "unknown", "cancelled", 502},
        {{503, {{"Baobab-Cancelled", "1"}, {"Baobab-Not-Run", "1"}}, ""}, "not-run", "cancelled", 503},
        {{503, {}, R"({"error":"busy"})"}, "done", "busy", 503},
        {{409, {}, R"({"error":"sold out"})"}, "done", "sold out", 409},
        {{200, {{"Baobab-Not-Run", "1"}}, ""}, "done", "", 200},
        {{200, {{"Baobab-Outcome", "not-run"}, {"Baobab-Internal-Not-Run", "1"}}, ""}, "done", "", 200},
        {{200, {{"Baobab-Internal-Call", "x"}, {"Connection", "close"}}, "y"}, "done", "", 200},
    };
    for (const auto& ex : examples) {
        answer = ex.answer;
        const auto response = it.call(1, book(it.key(1)));
        CHECK(outcome(response) == ex.outcome);
        CHECK(cause(response) == ex.cause);
        CHECK(response.status == ex.status);
        CHECK_FALSE(has_header_prefix(response.headers, "Baobab-Internal-"));
    }
    CHECK(it.violation.empty());
}

TEST_CASE("invalid, truncated and oversized responses are unknown, and a surplus response is discarded",
          "[calls]") {
    // Guards against forwarding a response that is truncated, oversized or for another request as complete
    // (guarantee P3).
    const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    struct example {
        std::string bytes;
        bool closes;
        std::string outcome;
        std::string cause;
    };
    const std::vector<example> examples{
        {"\x01\x02 not http\r\n\r\n", false, "unknown", "target-garbage"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true, "unknown", "target-garbage"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", true, "unknown", "target-garbage"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", false, "unknown", "target-garbage"},
        {"HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", false, "unknown",
         "target-garbage"},
        {"HTTP/1.1 100 Continue\r\n\r\n", false, "unknown", "target-garbage"},
        {"", true, "unknown", "target-failed"},
        {good, false, "done", ""},
        {good + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false, "done", ""},
    };
    test_cluster it{1};
    for (const auto& ex : examples) {
        raw_target target{it, ex.bytes, ex.closes};
        it.announce_target(1, {"127.0.0.1", target.acceptor.local_endpoint().port()});
        for (int n = 0; n < 2; ++n) {
            const auto response = it.call(1, book(it.key(1)));
            CHECK(outcome(response) == ex.outcome);
            CHECK(cause(response) == ex.cause);
            CHECK((ex.outcome != "done" || response.body == "ok"));
        }
        CHECK(target.requests == 2);
        it.run_for(milliseconds{5});
    }
    // An idempotent call whose only target closed the connection may have run.
    raw_target cutting{it, "", true};
    it.announce_target(1, {"127.0.0.1", cutting.acceptor.local_endpoint().port()});
    CHECK(outcome(it.call(1, look())) == "unknown");
    CHECK(cutting.requests == 1);
    // The connection is refused, so the call is guaranteed not to have run.
    it.announce_target(1, {"127.0.0.1", 1});
    CHECK(outcome(it.call(1, book(it.key(1)))) == "not-run");
    CHECK(it.violation.empty());
}

TEST_CASE("an abandoned non-idempotent request still gets its final outcome", "[calls]") {
    // Guards against a permanent "unknown" after the caller disconnected.
    test_cluster it{2};
    std::shared_ptr<http_exchange> held;
    it.add_target(2, [&](const http_request&, const auto& exchange) { held = exchange; });
    const auto key = it.key(1);
    const auto slot = it.send(1, book(key), milliseconds{100});
    it.until([&] { return slot->has_value(); });
    it.run_for(milliseconds{20});
    CHECK(cause(it.call(2, {"GET", "/v1/outcomes/" + key, {}, ""})) == "outcome-unknown");
    held->respond({200, {}, "final"});
    it.until([&] { return it.at(1).pending_entries == 0; });
    CHECK(it.call(2, {"GET", "/v1/outcomes/" + key, {}, ""}).body == "final");
    CHECK(it.violation.empty());
}

TEST_CASE("abandoning a call cancels it and its child calls", "[calls]") {
    // Guards against work that continues after its caller disconnected, and child calls that outlive their
    // parent.
    test_cluster it{2};
    std::map<std::string, std::shared_ptr<http_exchange>> held;
    int cancels = 0;
    const auto handler = [&](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        if (request.target.starts_with("/cancel/")) {
            ++cancels;
            exchange->respond({200, {}, ""});
            return;
        }
        held[request.target] = exchange;
        if (request.target == "/look") {
            it.client.send(address(1), child(request, "look", ""), milliseconds{2000}, [](const auto&) {});
        }
    };
    it.add_target(1, handler);
    const auto slot = it.send(1, look(), milliseconds{200});
    it.until([&] { return held.size() == 2; });
    it.until([&] { return slot->has_value(); });
    // Ends before the deadline of either call, at which the calls would be cancelled anyway.
    it.run_for(milliseconds{300});
    CHECK(cancels == 2);
    held.at("/look")->respond({503, {{"Baobab-Cancelled", "1"}}, ""});
    held.at("/child")->respond({503, {{"Baobab-Cancelled", "1"}}, ""});
    it.until([&] { return it.at(1).calls.empty() && it.at(1).pending_entries == 0; });
    CHECK(it.violation.empty());
}

TEST_CASE("the trace of a request lists its decisions and is bounded in size", "[calls]") {
    // Guards against a trace that grows without bound, or that lacks the reason why a call was not run.
    test_cluster it{1};
    it.at(1).trace.max_requests = 3;
    for (int n = 0; n < 5; ++n) {
        it.call(1, look());
    }
    it.add_target(1, [](const http_request&, const auto& exchange) {
        exchange->respond({503, {{"Baobab-Not-Run", "1"}}, ""});
    });
    const auto response = it.call(1, look());
    const std::string request{header_or_empty(response.headers, "Baobab-Request")};
    const auto text = explain_json(it.at(1).trace, request, clock::now());
    for (const auto* event :
         {"arrived", "target-chosen", "hop-arrived", "sent", "ended", "shed", "outcome"}) {
        CHECK_THAT(text, Catch::Contains(event));
    }
    CHECK(it.at(1).trace.requests.size() == 3);
    CHECK(it.at(1).trace.order.size() == 3);
    call_trace trace;
    for (int n = 0; n < 40; ++n) {
        record_trace_event(trace, "r", "", "retry", "", clock::now());
    }
    CHECK_THAT(explain_json(trace, "r", clock::now()), Catch::Contains("\"dropped\":8"));
}
