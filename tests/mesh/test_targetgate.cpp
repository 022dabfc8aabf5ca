#include "concurrencylimiter.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace baobabswitch;
using std::chrono::milliseconds;

namespace {

const boot_time_point start{std::chrono::hours{1}};

slot_request make_request(run_id id, bool nested, milliseconds left = milliseconds{1000},
                          milliseconds objective = milliseconds{400}) {
    return {id, "r", nested, 1.5, left, objective};
}

concurrency_limiter make_gate(unsigned slots) {
    concurrency_limiter it;
    it.slots = slots;
    it.service_ms["r"] = 50;
    return it;
}

} // namespace

// Guards against forwarding more concurrent calls to a target than it has slots.
TEST_CASE("concurrent calls do not exceed the usable slots") {
    auto gate = make_gate(10);
    for (run_id id = 1; id <= 9; ++id) {
        CHECK(request_slot(gate, make_request(id, true), start) == slot_decision::start);
    }
    CHECK(usable_slots(gate) == 9);
    CHECK(request_slot(gate, make_request(10, true), start) == slot_decision::wait);
    release_slot(gate, "r", milliseconds{50});
    CHECK(start_waiting(gate, start) == std::vector<run_id>{10});
    CHECK(gate.running == 9);
}

// Guards against a new request that waits longer than an eighth of its latency objective and is rejected
// late.
TEST_CASE("a new request that would wait long is rejected at once, a nested call waits") {
    auto gate = make_gate(2);
    REQUIRE(request_slot(gate, make_request(1, true), start) == slot_decision::start);
    CHECK(request_slot(gate, make_request(2, false, milliseconds{1000}, milliseconds{200}), start) ==
          slot_decision::refuse);
    CHECK(request_slot(gate, make_request(3, true), start) == slot_decision::wait);
    CHECK(gate.waiting.front().request.id == 3);
}

// Guards against starting a call whose deadline has nearly passed.
TEST_CASE("a queued call that can no longer finish in time is removed") {
    auto gate = make_gate(1);
    REQUIRE(request_slot(gate, make_request(1, true), start) == slot_decision::start);
    REQUIRE(request_slot(gate, make_request(2, true, milliseconds{200}), start) == slot_decision::wait);
    CHECK(request_slot(gate, make_request(3, true, milliseconds{20}), start) == slot_decision::refuse);
    CHECK(expire_waiting(gate, start + milliseconds{100}).empty());
    CHECK(expire_waiting(gate, start + milliseconds{190}) == std::vector<run_id>{2});
}

// Guards against requests with a short latency objective that queue behind calls with a long one.
TEST_CASE("a call with a short objective starts before one with a long objective") {
    auto gate = make_gate(1);
    REQUIRE(request_slot(gate, make_request(1, true), start) == slot_decision::start);
    request_slot(gate, make_request(2, true, milliseconds{1000}, milliseconds{800}), start);
    request_slot(gate, make_request(3, true, milliseconds{1000}, milliseconds{150}), start + milliseconds{1});
    release_slot(gate, "r", milliseconds{50});
    CHECK(start_waiting(gate, start + milliseconds{2}) == std::vector<run_id>{3});
}

// Guards against leaked slots and calls that start twice under some order of events.
TEST_CASE("slots are neither leaked nor assigned twice in random schedules") {
    std::mt19937_64 random{first_seed()};
    auto gate = make_gate(8);
    std::set<run_id> running;
    std::set<run_id> waiting;
    auto now = start;
    for (run_id id = 1; id < 20000; ++id) {
        now += milliseconds{random() % 12};
        switch (request_slot(gate, make_request(id, random() % 2 == 0, milliseconds{random() % 300}), now)) {
        case slot_decision::start:
            CHECK(running.insert(id).second);
            break;
        case slot_decision::wait:
            CHECK(waiting.insert(id).second);
            break;
        case slot_decision::refuse:
            break;
        }
        if (!running.empty() && random() % 3 != 0) {
            running.erase(running.begin());
            release_slot(gate, "r", milliseconds{random() % 80});
        }
        for (const auto gone : expire_waiting(gate, now)) {
            CHECK(waiting.erase(gone) == 1);
        }
        for (const auto started : start_waiting(gate, now)) {
            CHECK(waiting.erase(started) == 1);
            CHECK(running.insert(started).second);
        }
        if (!waiting.empty() && random() % 20 == 0) {
            CHECK(remove_waiting(gate, *waiting.begin()));
            waiting.erase(waiting.begin());
        }
        REQUIRE(gate.running == running.size());
        REQUIRE(gate.waiting.size() == waiting.size());
        REQUIRE(gate.running <= usable_slots(gate));
    }
}
