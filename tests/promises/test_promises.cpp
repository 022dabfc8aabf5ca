#include "memorystore.h"
#include "promises.h"
#include "seed.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <memory>
#include <random>

using namespace baobabswitch;

namespace {

constexpr std::uint64_t patience_ms = 600'000;

promise_item make_item(const std::string& key, bool idempotent = false) {
    promise_item it;
    it.key = key;
    it.service = "booking-desk";
    it.path = "/swim-booking";
    it.kind = "swim-booking";
    it.body = std::string{"\x00\xff{}", 4};
    it.idempotent = idempotent;
    it.expires_ms = patience_ms;
    return it;
}

promise_table make_table(const std::string& node) {
    promise_table promises;
    promises.domain = "praha-a";
    promises.self = node;
    return promises;
}

call_outcome done() {
    call_outcome it;
    it.kind = outcome_kind::done;
    it.response.body = "ok";
    return it;
}

} // namespace

TEST_CASE("a promised call is stored, claimed, run and its outcome found", "[promises]") {
    // Guards against a body that is altered in the store, and an outcome that is lost or keeps bytes
    // reserved.
    invariant_table invariants;
    memory_store store;
    auto promises = make_table("n1.1");
    REQUIRE(add_promise(promises, make_item("n1.1.1.aa")));
    const auto written = write_open_batch(promises, store, 0, invariants);
    CHECK(written.outcome == promise_write::stored);
    const auto claimed = claim_promises(promises, store, "booking-desk", 10, invariants);
    REQUIRE(claimed.size() == 1);
    CHECK(claimed.front().body.size() == 4);
    // Guards against a claimant that starts a call a second time because it holds the claim.
    CHECK(claim_promises(promises, store, "booking-desk", 10, invariants).empty());
    record_promise_outcome(promises, "n1.1.1.aa", done());
    write_outcomes(promises, store, 1);
    const auto found = find_promise(store, "n1.1.1.aa");
    REQUIRE(found);
    CHECK(found.value().state == promise_state::done);
    CHECK(found.value().answer == "ok");
    CHECK(promises.reserved_bytes == 0);
    CHECK(violations(invariants) == 0);
}

TEST_CASE("capacity is given back when the platform refuses the write", "[promises]") {
    // Guards against a leak of reserved bytes during an outage, after which nothing could be promised.
    invariant_table invariants;
    memory_store store;
    store.on_call = [](auto, auto) {
        return store_fault::unavailable;
    };
    auto promises = make_table("n1.1");
    REQUIRE(add_promise(promises, make_item("n1.1.1.aa")));
    CHECK(write_open_batch(promises, store, 0, invariants).outcome == promise_write::not_stored);
    CHECK(promises.reserved_bytes == 0);
}

TEST_CASE("a lost answer to the write is settled by a conditional write", "[promises]") {
    // Guards against a stored batch that is taken as not stored because the answer to its write was lost.
    invariant_table invariants;
    memory_store store;
    int puts = 0;
    store.on_call = [&](std::string_view operation, auto) {
        return operation == "put" && puts++ == 0 ? store_fault::answer_lost : store_fault::none;
    };
    auto promises = make_table("n1.1");
    REQUIRE(add_promise(promises, make_item("n1.1.1.aa")));
    CHECK(write_open_batch(promises, store, 0, invariants).outcome == promise_write::stored);
    CHECK(claim_promises(promises, store, "booking-desk", 1, invariants).size() == 1);
}

TEST_CASE("an adopted claim of a non-idempotent call never runs again", "[promises]") {
    // Guards against a second run when a claimant is paused and another node adopts its batch meanwhile.
    invariant_table invariants;
    memory_store store;
    auto paused = make_table("n1.1");
    REQUIRE(add_promise(paused, make_item("n1.1.1.aa")));
    write_open_batch(paused, store, 0, invariants);
    REQUIRE(claim_promises(paused, store, "booking-desk", 1, invariants).size() == 1);
    auto other = make_table("n2.1");
    REQUIRE(adopt_batch(other, store, "promises/praha-a/n1.1/1"));
    CHECK(claim_promises(other, store, "booking-desk", 1, invariants).empty());
    CHECK(find_promise(store, "n1.1.1.aa").value().state == promise_state::unknown);
    // The paused claimant resumes and ends its run. Its first write meets a conflict and reads the batch
    // again; the second replaces unknown by the actual outcome.
    record_promise_outcome(paused, "n1.1.1.aa", done());
    write_outcomes(paused, store, 1);
    CHECK(find_promise(store, "n1.1.1.aa").value().state == promise_state::unknown);
    write_outcomes(paused, store, 1);
    CHECK(find_promise(store, "n1.1.1.aa").value().state == promise_state::done);
}

TEST_CASE("an adopted idempotent call is claimed at most as often as it may be", "[promises]") {
    // Guards against a call that ends each node which claims it, and is adopted and claimed again for ever.
    invariant_table invariants;
    memory_store store;
    auto first = make_table("n1.1");
    REQUIRE(add_promise(first, make_item("n1.1.1.aa", true)));
    write_open_batch(first, store, 0, invariants);
    unsigned claims = claim_promises(first, store, "booking-desk", 1, invariants).size();
    for (unsigned n = 2; n < 2 * max_promise_attempts; ++n) {
        auto next = make_table("n" + std::to_string(n) + ".1");
        REQUIRE(adopt_batch(next, store, "promises/praha-a/n1.1/1"));
        claims += claim_promises(next, store, "booking-desk", 1, invariants).size();
    }
    CHECK(claims == max_promise_attempts);
    CHECK(find_promise(store, "n1.1.1.aa").value().state == promise_state::unknown);
}

TEST_CASE("an unclaimed promise past its patience is reported as not run", "[promises]") {
    // Guards against a promised call that is run after its deadline or whose expiry is not reported.
    invariant_table invariants;
    memory_store store;
    auto promises = make_table("n1.1");
    REQUIRE(add_promise(promises, make_item("n1.1.1.aa")));
    write_open_batch(promises, store, 0, invariants);
    CHECK(write_outcomes(promises, store, patience_ms + 1) == std::vector<std::string>{"n1.1.1.aa"});
    CHECK(claim_promises(promises, store, "booking-desk", 1, invariants).empty());
}

namespace {

/// Simulates nodes that promise, claim, run, pause, fail and adopt batches over one store with faults.
struct schedule {
    explicit schedule(std::uint64_t seed) : rng(seed) {
        store.on_call = [this](auto, auto) {
            if (outage) {
                return store_fault::unavailable;
            }
            const auto n = rng() % 20;
            return n == 0 ? store_fault::unavailable : n == 1 ? store_fault::answer_lost : store_fault::none;
        };
        for (int n = 0; n < 3; ++n) {
            tables.push_back(make_table("n" + std::to_string(n) + ".1"));
        }
    }

    void step() {
        auto& promises = tables.at(rng() % tables.size());
        switch (rng() % 8) {
        case 0:
            promise(promises);
            break;
        case 1:
        case 2:
            for (const auto& it :
                 claim_promises(promises, store, "booking-desk", 1 + rng() % 3, invariants)) {
                running.emplace_back(&promises - tables.data(), it);
            }
            break;
        case 3:
        case 4:
            end_one_run();
            break;
        case 5:
            write_outcomes(promises, store, now_ms);
            break;
        case 6:
            if (adopts_live) {
                adopt_any(promises);
            }
            break;
        default:
            outage = rng() % 10 == 0;
            now_ms += rng() % 5000;
        }
    }

    void promise(promise_table& promises) {
        const auto key = promises.self + "." + std::to_string(++serial) + ".aa";
        REQUIRE(add_promise(promises, make_item(key, rng() % 4 == 0)));
        const auto written = write_open_batch(promises, store, now_ms, invariants);
        if (written.outcome == promise_write::stored) {
            promised.push_back(key);
        } else if (written.outcome == promise_write::not_stored) {
            refused.push_back(key);
        }
    }

    /// Ends a call in progress with a random outcome. The outcome "not run" is not counted as an execution.
    void end_one_run() {
        if (running.empty()) {
            return;
        }
        const auto n = rng() % running.size();
        const auto [node, item] = running.at(n);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(n));
        if (rng() % 6 == 0) {
            record_promise_outcome(tables.at(static_cast<std::size_t>(node)), item.key,
                                   make_failure(outcome_kind::not_run, error_kind::overloaded, "", ""));
            return;
        }
        ++executions[item.key];
        if (!item.idempotent) {
            REQUIRE(executions[item.key] == 1);
        }
        if (rng() % 10 != 0) { // otherwise the claimant fails before it records the outcome
            record_promise_outcome(tables.at(static_cast<std::size_t>(node)), item.key, done());
        }
    }

    /// Adopts any batch; its holder may have failed or may only be paused.
    void adopt_any(promise_table& promises) {
        const auto names = store.list("promises/");
        if (names && !names.value().objects.empty()) {
            const auto& name = names.value().objects.at(rng() % names.value().objects.size()).name;
            if (!promises.held_batches.contains(name)) {
                (void)adopt_batch(promises, store, name);
            }
        }
    }

    std::mt19937_64 rng;
    invariant_table invariants;
    memory_store store;
    std::vector<promise_table> tables;
    std::vector<std::pair<std::ptrdiff_t, promise_item>> running;
    std::vector<std::string> promised;
    std::vector<std::string> refused;
    std::map<std::string, int> executions;
    std::uint64_t now_ms = 0;
    std::uint64_t serial = 0;
    bool outage = false;
    bool adopts_live = true;
};

} // namespace

TEST_CASE("non-idempotent promised calls run at most once in random schedules", "[promises][random]") {
    // Guards against second runs of non-idempotent calls, lost promises, and refused calls that run, under
    // any combination of lost answers, outages, adoptions from live holders and failed claimants.
    const auto first = first_seed();
    std::cout << "promises: seeds from " << first << '\n';
    constexpr std::uint64_t schedules = 3000;
    constexpr int steps = 60;
    for (std::uint64_t n = 0; n < schedules; ++n) {
        INFO("seed " << first + n);
        schedule it{first + n};
        for (int k = 0; k < steps; ++k) {
            it.step();
        }
        it.store.on_call = nullptr;
        for (const auto& key : it.promised) {
            const auto found = find_promise(it.store, key);
            REQUIRE(found);
        }
        for (const auto& key : it.refused) {
            REQUIRE_FALSE(find_promise(it.store, key));
            REQUIRE(it.executions.count(key) == 0);
        }
        REQUIRE(violations(it.invariants) == 0);
    }
}

TEST_CASE("cost of batches and of adopting the batches of live holders", "[.measure]") {
    invariant_table invariants;
    constexpr int calls = 1000;
    for (const std::size_t items : {std::size_t{1}, std::size_t{100}}) {
        memory_store store;
        std::size_t writes = 0;
        store.on_call = [&](std::string_view operation, auto) {
            writes += operation == "put" ? 1 : 0;
            return store_fault::none;
        };
        auto promises = make_table("n1.1");
        promises.limits.batch_items = items;
        for (int n = 0; n < calls; ++n) {
            const auto item = make_item("n1.1." + std::to_string(n) + ".aa");
            if (!add_promise(promises, item)) {
                write_open_batch(promises, store, 0, invariants);
                REQUIRE(add_promise(promises, item));
            }
        }
        write_open_batch(promises, store, 0, invariants);
        std::cout << "items per batch " << items << ": " << writes << " writes for " << calls
                  << " promises\n";
    }
    for (const std::size_t bytes : {std::size_t{64} * 1024, std::size_t{64} * 1024 * 1024}) {
        memory_store store;
        auto promises = make_table("n1.1");
        promises.limits.batch_bytes = bytes;
        std::size_t lost = 0;
        std::size_t accepted = 0;
        for (int n = 0; n < calls; ++n) {
            auto item = make_item("n1.1." + std::to_string(n) + ".aa");
            item.body.assign(promises.limits.item_bytes, 'x');
            if (!add_promise(promises, item)) {
                const auto written = write_open_batch(promises, store, 0, invariants);
                lost += written.outcome == promise_write::stored ? 0 : written.keys.size();
                promises.held_batches.clear();
                promises.reserved_bytes = 0;
                REQUIRE(add_promise(promises, item));
            }
            ++accepted;
        }
        std::cout << "byte bound of a batch " << bytes << ": " << lost << " of " << accepted
                  << " promises of 16 KiB not stored\n";
    }
    for (const bool gated : {false, true}) {
        std::size_t unknown = 0;
        std::size_t promised = 0;
        constexpr std::uint64_t schedules = 500;
        for (std::uint64_t n = 0; n < schedules; ++n) {
            schedule it{n};
            it.adopts_live = !gated;
            for (int k = 0; k < 60; ++k) {
                it.step();
            }
            it.store.on_call = nullptr;
            for (const auto& key : it.promised) {
                ++promised;
                unknown += find_promise(it.store, key).value().state == promise_state::unknown ? 1 : 0;
            }
        }
        std::cout << (gated ? "adoption of dead holders only: " : "adoption of any holder: ") << unknown
                  << " of " << promised << " promises unknown\n";
    }
}
