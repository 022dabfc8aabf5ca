#include "callrig.h"

using namespace callrig;

TEST_CASE("a draining node completes its calls in flight and accepts no new ones", "[calls]") {
    // Guards against a graceful stop that interrupts a running call, its child calls or the repeats waiting
    // for it (guarantee P7).
    test_cluster it{2};
    std::map<std::string, std::shared_ptr<http_exchange>> held;
    std::optional<http_request> parent;
    const auto handler = [&](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        held[request.target] = exchange;
        parent = request.target == "/book" ? request : parent;
    };
    it.add_target(1, handler);
    it.add_target(2, handler);
    // Ensures that the parent call is sent to the target of node 1.
    it.at(1).target_choice.targets.at("n2").available = false;
    const auto key = it.key(1);
    const auto unused = it.key(1);
    const auto first = it.send(1, book(key));
    it.until([&] { return held.contains("/book"); });
    it.at(1).target_choice.targets.at("n2").available = true;
    it.nodes.at(0)->drain();
    const auto repeat = it.send(2, book(key));
    for (const auto& request : {look(), book(unused), http_request{"POST", "/v1/keys", {}, ""}}) {
        const auto response = it.call(1, request);
        CHECK((cause(response) == "draining" && outcome(response) == "not-run"));
    }
    const auto sub = it.send(1, child(*parent, "book", "a"));
    it.until([&] { return held.contains("/child"); });
    it.run_for(milliseconds{1200});
    CHECK_FALSE(it.loop.implementation().context.stopped());
    held.at("/child")->respond({200, {}, "child"});
    it.until([&] { return sub->has_value(); });
    CHECK(std::get<http_response>(**sub).body == "child");
    held.at("/book")->respond({200, {}, "parent"});
    it.until([&] { return first->has_value() && repeat->has_value(); });
    CHECK(std::get<http_response>(**first).body == "parent");
    CHECK(std::get<http_response>(**repeat).body == "parent");
    it.until([&] { return it.loop.implementation().context.stopped(); });
    CHECK(it.invariants.checked.at(static_cast<std::size_t>(invariant::graceful_stop)) == 1);
    CHECK(it.violation.empty());
}

TEST_CASE("calls queued for a leaving target are sent to another target", "[calls]") {
    // Guards against sending queued calls to a target after it announced that it is leaving (guarantee P6).
    test_cluster it{2};
    std::vector<std::shared_ptr<http_exchange>> held;
    it.add_target(1, [&](const http_request&, const auto& exchange) { held.push_back(exchange); });
    std::vector<std::shared_ptr<std::optional<http_result>>> sent;
    for (int n = 0; n < 4; ++n) {
        sent.push_back(it.send(2, look()));
    }
    it.until([&] { return held.size() == 2 && it.at(1).admission.waiting.size() == 2; });
    it.add_target(2, [](const http_request&, const auto& exchange) { exchange->respond({200, {}, "two"}); });
    it.announce_target(1, it.at(1).target.address, "leaving");
    it.until(
        [&] { return std::count_if(sent.begin(), sent.end(), [](const auto& r) { return !!*r; }) == 2; });
    for (const auto& exchange : held) {
        exchange->respond({200, {}, "one"});
    }
    it.until([&] { return std::all_of(sent.begin(), sent.end(), [](const auto& r) { return !!*r; }); });
    for (const auto& r : sent) {
        CHECK(std::get<http_response>(**r).status == 200);
    }
    CHECK(held.size() == 2);
    CHECK(it.violation.empty());
}
