#include "retryledger.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

TEST_CASE("a loan to a child call is subtracted from the budget of its parent", "[retryledger]") {
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

TEST_CASE("an unspent loan is returned, and the loan of a lost response counts as spent", "[retryledger]") {
    // Guards against a budget that shrinks without retries, and against retries granted a second time after a
    // response was lost.
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
    // Guards against retries by a call that was granted none.
    invariant_table invariants;
    retry_ledger ledger;
    CHECK_FALSE(take_retry(ledger, invariants));
    CHECK(lend_retries(ledger, invariants) == 0);
}
