#include "retryledger.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

TEST_CASE("a child's loan is subtracted from the parent", "[retryledger]") {
    invariant_table invariants;
    retry_ledger parent;
    parent.granted = 3;
    // Guards against parallel child calls that each get a copy of the budget.
    const auto first = lend_retries(parent, invariants);
    const auto second = lend_retries(parent, invariants);
    const auto third = lend_retries(parent, invariants);
    CHECK(first + second + third <= 3);
    CHECK(violations(invariants) == 0);
}

TEST_CASE("an unspent loan comes back and a lost answer keeps it", "[retryledger]") {
    invariant_table invariants;
    retry_ledger parent;
    parent.granted = 4;
    const auto loan = lend_retries(parent, invariants);
    settle_loan(parent, loan, 0, invariants);
    CHECK(remaining_retries(parent) == 4);
    const auto lost = lend_retries(parent, invariants);
    settle_loan(parent, lost, lost, invariants);
    CHECK(remaining_retries(parent) == 4 - lost);
    CHECK(violations(invariants) == 0);
}

TEST_CASE("nothing can be taken from an empty ledger", "[retryledger]") {
    invariant_table invariants;
    retry_ledger ledger;
    CHECK_FALSE(take_retry(ledger, invariants));
    CHECK(lend_retries(ledger, invariants) == 0);
}
