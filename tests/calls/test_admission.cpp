#include "admission.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

const time_point now{};

admission_entry entry(std::string call, importance_level importance, bool cancellable = false) {
    admission_entry it;
    it.call = std::move(call);
    it.importance = importance;
    it.cancellable = cancellable;
    it.deadline = time_point::max();
    return it;
}

} // namespace

TEST_CASE("an important call evicts the least important waiting call", "[admission]") {
    // Guards against refusing a call while a less important one waits in the queue.
    invariant_table invariants;
    admission_table table;
    table.limits = {1, 2, false, 0};
    CHECK(submit_call(table, entry("a", 5), now, invariants).verdict == admission_verdict::run);
    CHECK(submit_call(table, entry("b", 1), now, invariants).verdict == admission_verdict::queued);
    CHECK(submit_call(table, entry("c", 3), now, invariants).verdict == admission_verdict::queued);
    const auto decision = submit_call(table, entry("d", 9), now, invariants);
    CHECK(decision.verdict == admission_verdict::queued);
    CHECK(decision.evicted == std::vector<std::string>{"b"});
    CHECK(submit_call(table, entry("e", 3), now, invariants).verdict == admission_verdict::refused);
    CHECK(violations(invariants) == 0);
    CHECK(remove_call(table, "a", now).start == std::vector<std::string>{"d"});
}

TEST_CASE("an important call cancels a less important running call", "[admission]") {
    // Guards against refusing a call while a less important cancellable call occupies a slot.
    invariant_table invariants;
    admission_table table;
    table.limits = {1, 0, false, 0};
    submit_call(table, entry("a", 1, true), now, invariants);
    const auto decision = submit_call(table, entry("b", 9), now, invariants);
    CHECK(decision.verdict == admission_verdict::queued);
    CHECK(decision.cancel == std::vector<std::string>{"a"});
    CHECK(remove_call(table, "a", now).start == std::vector<std::string>{"b"});
}
