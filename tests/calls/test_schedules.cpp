#include "requestkeys.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <random>

using namespace baobabswitch;

namespace {

/// A random schedule in simulated time of keyed requests, repeats, lost messages, cancellations, key expiry
/// and replacement of the key owner. Uses the key records and retry ledgers of the nodes.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : rng_(seed) {
        invariants_.on_violation = [this](invariant which, std::string_view detail) {
            fail(std::string{invariant_name(which)} + ": " + std::string{detail});
        };
        budget_ = pick(5);
        idempotent_ = pick(4) == 0;
        table_.max_retained_bytes = pick(2) == 0 ? 300 : 1'000'000;
    }

    std::string run() {
        for (unsigned n = 1 + pick(3); n > 0; --n) {
            requests_.push_back({issue_key(table_, "n1", incarnation_, ring_, now_).value()});
        }
        for (unsigned n = 4 + pick(12); n > 0; --n) {
            at(pick(3000), [this, id = pick(static_cast<unsigned>(requests_.size()))] { arrival(id); });
        }
        if (pick(4) == 0) {
            at(pick(3000), [this] { replace_owner(); });
        }
        if (pick(4) == 0) {
            at(pick(3000), [this] { now_ += std::chrono::minutes{11}; });
        }
        while (!events_.empty() && failure_.empty()) {
            const auto it = events_.begin();
            now_ = std::max(now_, it->first);
            const auto fn = it->second;
            events_.erase(it);
            fn();
            expire_keys(table_, now_);
        }
        for (const auto& it : requests_) {
            expect(it.open == 0, "an attempt never ended");
        }
        return failure_;
    }

    std::uint64_t reported_not_run() const {
        return reported_not_run_;
    }
    std::uint64_t runs() const {
        std::uint64_t sum = 0;
        for (const auto& it : requests_) {
            sum += it.executions;
        }
        return sum;
    }

private:
    /// Actual state of a request, independent of its key record.
    struct request {
        std::string key;
        unsigned executions = 0;
        unsigned open = 0; ///< attempts in transit or at a target that may still execute
        unsigned attempts = 0;
        unsigned spent_below = 0; ///< retries spent downstream
    };
    struct running {
        unsigned id = 0;
        std::shared_ptr<key_record> record;
        retry_ledger ledger;
        unsigned loan = 0;
        std::uint64_t incarnation = 0;
        bool cancelled = false;
    };

    unsigned pick(unsigned n) {
        return std::uniform_int_distribution<unsigned>{0, n - 1}(rng_);
    }
    void at(unsigned ms, std::function<void()> fn) {
        events_.emplace(now_ + milliseconds{ms}, std::move(fn));
    }
    void fail(std::string text) {
        if (failure_.empty()) {
            failure_ = std::move(text);
        }
    }
    void expect(bool condition, const char* text) {
        if (!condition) {
            fail(text);
        }
    }

    void check_reported_outcome(unsigned id, const call_outcome& outcome) {
        const auto& it = requests_[id];
        if (outcome.kind == outcome_kind::not_run) {
            ++reported_not_run_;
            expect(it.executions == 0 && it.open == 0,
                   "\"not run\" was reported for a request that ran or may run");
        }
        if (outcome.kind == outcome_kind::done) {
            expect(it.executions > 0, "\"done\" was reported for a request that did not run");
            expect(outcome.response.body == it.key || find_header(outcome.response.headers, "Baobab-Answer"),
                   "a repeat got a partial response or that of another request");
        }
    }

    void arrival(unsigned id) {
        const auto& key = requests_[id].key;
        const auto parsed = parse_key(key, ring_);
        const auto found = table_.records.find(key);
        if (!parsed || parsed.value().incarnation != incarnation_ || found == table_.records.end()) {
            return; // key-owner-gone or bad-key: the outcome is unknown and nothing runs
        }
        const auto record = found->second;
        if (record->state == key_state::issued) {
            record->ledger.granted = budget_;
        }
        const auto arrived = register_arrival(*record, record->ledger, 1, pick(20) != 0, invariants_);
        if (arrived.action == arrival_action::respond) {
            check_reported_outcome(id, arrived.outcome);
        } else if (arrived.action == arrival_action::wait) {
            add_waiter(*record,
                       [this, id](const call_outcome& outcome) { check_reported_outcome(id, outcome); });
        } else {
            auto it = std::make_shared<running>();
            *it = {id, record, {}, lend_all_retries(record->ledger, invariants_), incarnation_, false};
            it->ledger.granted = it->loan;
            if (pick(4) == 0) {
                at(pick(600), [it] { it->cancelled = true; });
            }
            attempt(it);
        }
    }

    /// Simulates an attempt whose request or response may be lost and that the target may shed.
    void attempt(const std::shared_ptr<running>& it) {
        auto& actual = requests_[it->id];
        const auto loan = lend_retries(it->ledger, invariants_);
        mark_sent(it->record->attempts, idempotent_, invariants_);
        ++actual.attempts;
        ++actual.open;
        const auto attempt_result = pick(8);
        const bool executes = attempt_result < 4; // 3: executed, response lost
        const auto spent = pick(loan + 1);
        actual.spent_below += spent;
        at(pick(300), [this, it, executes] {
            --requests_[it->id].open;
            requests_[it->id].executions += executes ? 1 : 0;
        });
        at(300 + pick(300),
           [this, it, attempt_result, loan, spent] { on_attempt_ended(it, attempt_result, loan, spent); });
    }

    void on_attempt_ended(const std::shared_ptr<running>& it, unsigned attempt_result, unsigned loan,
                          unsigned spent) {
        if (it->incarnation != incarnation_) {
            return; // the key owner that sent the attempt was replaced
        }
        // 0-2: done; 3: executed, response lost; 4: request lost; 5: cancelled; 6-7: shed or never sent.
        const bool answered = attempt_result < 3 || attempt_result >= 5;
        settle_loan(it->ledger, loan, answered ? spent : loan, invariants_);
        call_outcome outcome;
        outcome.kind = attempt_result < 3 ? outcome_kind::done : outcome_kind::unknown;
        if (outcome.kind == outcome_kind::done) {
            outcome.response.body = requests_[it->id].key;
        } else if (attempt_result >= 6) {
            mark_not_run(it->record->attempts);
            outcome = make_failure(outcome_kind::not_run, error_kind::shed, "", "");
        }
        const bool again =
            outcome.kind == outcome_kind::not_run || (outcome.kind == outcome_kind::unknown && idempotent_);
        if (again && !it->cancelled && pick(3) != 0 && take_retry(it->ledger, invariants_)) {
            attempt(it);
            return;
        }
        if (outcome.kind == outcome_kind::not_run && it->record->attempts.unresolved > 0) {
            outcome.kind = outcome_kind::unknown;
        }
        settle_loan(it->record->ledger, it->loan, it->ledger.spent + it->ledger.lent, invariants_);
        for (const auto& fn : end_run(table_, it->record, outcome, invariants_)) {
            fn(outcome);
        }
        check_reported_outcome(it->id, outcome);
        const auto& actual = requests_[it->id];
        expect(actual.attempts - 1 + actual.spent_below <= budget_,
               "a request caused more retries than its budget");
        expect(idempotent_ || actual.executions <= 1, "a non-idempotent request ran twice");
        expect(recorded_outcome(*it->record).kind == outcome.kind, "the record doesn't hold the outcome");
    }

    void replace_owner() {
        const auto kept = table_.max_retained_bytes;
        table_ = {};
        table_.max_retained_bytes = kept;
        ++incarnation_;
    }

    std::mt19937_64 rng_;
    invariant_table invariants_;
    key_ring ring_{{{"k", std::string(32, 's')}}, "k"};
    key_table table_;
    std::vector<request> requests_;
    std::multimap<time_point, std::function<void()>> events_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t incarnation_ = 1;
    unsigned budget_ = 0;
    bool idempotent_ = false;
    std::string failure_;
    std::uint64_t reported_not_run_ = 0;
};

} // namespace

TEST_CASE("key records and retry ledgers keep their guarantees under random schedules", "[schedules]") {
    // Guards against a request that exceeds its retry budget (P1), is reported as "not run" although it may
    // have run (P4), or runs twice or gets another request's response (P5), under event orders that the other
    // tests don't cover.
    constexpr int schedules = 20'000;
    const auto first = first_seed();
    std::cout << "BAOBABSWITCH_SEED=" << first << " schedules=" << schedules << '\n';
    std::uint64_t not_run = 0;
    std::uint64_t runs = 0;
    for (int n = 0; n < schedules; ++n) {
        const auto seed = first + static_cast<std::uint64_t>(n);
        schedule it{seed};
        const auto failure = it.run();
        if (!failure.empty()) {
            FAIL("BAOBABSWITCH_SEED=" << seed << ": " << failure);
        }
        not_run += it.reported_not_run();
        runs += it.runs();
    }
    // Ensures that the schedules include both executed and refused requests.
    CHECK(not_run > schedules / 10);
    CHECK(runs > schedules / 10);
}
