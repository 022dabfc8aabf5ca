#include "callrig.h"

using namespace callrig;

TEST_CASE("a keyed request runs once when repeats arrive at other nodes", "[calls]") {
    // Guards against a repeat through another node that runs the request again or gets a different response
    // (guarantee P5).
    test_cluster it{3};
    it.add_target(2, [](const http_request& request, const auto& exchange) {
        exchange->respond({201, {}, "booked " + request.body});
    });
    const auto key = it.key(1);
    for (const unsigned n : {2U, 1U, 3U}) {
        const auto response = it.call(n, book(key, "x"));
        CHECK(response.status == 201);
        CHECK(response.body == "booked x");
        CHECK(outcome(response) == "done");
        CHECK(header_or_empty(response.headers, "Baobab-Request") == key);
    }
    CHECK(cause(it.call(3, book(key, "another body"))) == "bad-key");
    const auto asked = it.call(3, {"GET", "/v1/outcomes/" + key, {}, ""});
    CHECK((outcome(asked) == "done" && asked.body == "booked x"));
    it.at(1).keys.max_retained_bytes = 0;
    const auto later = it.key(1);
    it.call(1, book(later));
    const auto dropped = it.call(2, book(later));
    CHECK((outcome(dropped) == "done" && dropped.status == 201));
    CHECK(header_or_empty(dropped.headers, "Baobab-Answer") == "dropped");
    CHECK(it.total_runs() == 2);
    CHECK(it.violation.empty());
}

TEST_CASE("a repeat of a running request waits for its response", "[calls]") {
    // Guards against a second run, and against an unbounded number of waiting repeats.
    test_cluster it{2};
    std::shared_ptr<http_exchange> held;
    it.add_target(2, [&](const http_request&, const auto& exchange) { held = exchange; });
    const auto key = it.key(1);
    const auto first = it.send(1, book(key), milliseconds{100});
    it.until([&] { return held != nullptr; });
    std::vector<std::shared_ptr<std::optional<http_result>>> repeats;
    for (int n = 0; n < 17; ++n) {
        repeats.push_back(it.send(n % 2 == 0 ? 1 : 2, book(key)));
    }
    it.until([&] {
        return std::count_if(repeats.begin(), repeats.end(), [](const auto& r) { return r->has_value(); }) ==
               1;
    });
    // The first caller disconnects; its request continues for the waiting repeats.
    it.until([&] { return first->has_value(); });
    held->respond({200, {}, "once"});
    it.until([&] { return std::all_of(repeats.begin(), repeats.end(), [](const auto& r) { return !!*r; }); });
    int answered = 0;
    for (const auto& r : repeats) {
        const auto& response = std::get<http_response>(**r);
        answered += response.body == "once" ? 1 : 0;
        CHECK((response.body == "once" || cause(response) == "overloaded"));
    }
    CHECK(answered == 16);
    CHECK(it.total_runs() == 1);
    CHECK(it.at(1).pending_entries + it.at(2).pending_entries == 0);
    CHECK(it.violation.empty());
}

TEST_CASE("a request that was not run may run again within one budget", "[calls]") {
    // Guards against repeats of a key that each get a retry budget of their own (guarantee P1).
    test_cluster it{1};
    bool shedding = true;
    it.add_target(1, [&](const http_request&, const auto& exchange) {
        exchange->respond(shedding ? http_response{503, {{"Baobab-Not-Run", "1"}}, ""} : http_response{});
    });
    const auto key = it.key(1);
    CHECK(outcome(it.call(1, book(key))) == "not-run");
    CHECK(cause(it.call(1, book(key))) == "shed");
    shedding = false;
    const auto other = it.key(1);
    CHECK(outcome(it.call(1, book(other))) == "done");
    shedding = true;
    CHECK(cause(it.call(1, book(key))) == "shed");
    CHECK(cause(it.call(1, book(key))) == "retry-budget-spent");
    CHECK(it.runs.at(key + "/book") == 3);
    CHECK(it.violation.empty());
}

TEST_CASE("a request whose key owner was replaced or is unreachable is not run", "[calls]") {
    // Guards against running a request a second time, and against "not run" for one that may have run.
    test_cluster it{2};
    it.add_target(2, [](const http_request&, const auto& exchange) { exchange->respond({}); });
    const auto& ring = it.at(1).settings.keys;
    key_table issued;
    const auto old = issue_key(issued, "n1", it.at(1).incarnation - 1, ring, clock::now()).value();
    const auto stranger = issue_key(issued, "n9", 1, ring, clock::now()).value();
    it.at(2).members["n8"] = {"n8", 1, 1, {"127.0.0.1", 1}, "d", "", target_state::none, 0};
    const auto silent = issue_key(issued, "n8", 1, ring, clock::now()).value();
    for (const unsigned n : {1U, 2U}) {
        CHECK(cause(it.call(n, book(old))) == "key-owner-gone");
        const auto response = it.call(n, book(stranger));
        CHECK(cause(response) == "key-owner-unreachable");
        CHECK(outcome(response) == "unknown");
    }
    const auto refused = it.call(2, book(silent));
    CHECK((cause(refused) == "key-owner-unreachable" && outcome(refused) == "unknown"));
    CHECK(cause(it.call(1, book("n1.1.1.0123456789abcdef"))) == "bad-key");
    const auto expired = it.key(1);
    it.at(1).keys.records.clear();
    const auto response = it.call(2, book(expired));
    CHECK((cause(response) == "bad-key" && outcome(response) == "unknown"));
    CHECK(it.total_runs() == 0);
}

TEST_CASE("a repeated child call is answered from its record", "[calls]") {
    // Guards against a second run of a non-idempotent child call that its parent repeats, for example because
    // the response was lost (guarantee P5).
    test_cluster it{1};
    std::vector<std::string> answers;
    it.add_target(1, [&](const http_request& request, const auto& exchange) {
        if (request.target != "/book") {
            exchange->respond({200, {}, "child"});
            return;
        }
        it.client.send(address(1), child(request, "book", "a"), milliseconds{1000},
                       [&, request, exchange](auto) {
                           it.client.send(address(1), child(request, "book", "a"), milliseconds{1000},
                                          [&, exchange](const http_result& result) {
                                              answers.push_back(std::get<http_response>(result).body);
                                              exchange->respond({200, {}, "parent"});
                                          });
                       });
    });
    const auto key = it.key(1);
    CHECK(it.call(1, book(key)).body == "parent");
    CHECK(answers == std::vector<std::string>{"child"});
    CHECK(it.runs.at(key + "/child") == 1);
    const http_request parent{"POST", "/", {{"Baobab-Call", "n1.1.1"}}, ""};
    CHECK(outcome(it.call(1, child(parent, "look", "a"))) == "not-run");
    CHECK(outcome(it.call(1, child(parent, "book", "a"))) == "unknown");
    CHECK(it.violation.empty());
}
