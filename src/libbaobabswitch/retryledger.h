#pragma once

#include "invariants.h"

namespace baobabswitch {

/// Retries that one call may still cause. What is lent to a child is subtracted, never copied, so the sum
/// over the whole call graph can't pass the grant made at entry.
struct retry_ledger {
    unsigned granted = 0;
    unsigned spent = 0;
    unsigned lent = 0; ///< out with children or hops whose answers are outstanding or lost
};

/// Returns how many retries are left.
unsigned remaining_retries(const retry_ledger& ledger);

/// Takes one retry for an attempt after the first; returns false when none is left.
bool take_retry(retry_ledger& ledger, invariant_table& invariants);

/// Lends half of what is left, rounded up, to one child and returns the amount.
unsigned lend_retries(retry_ledger& ledger, invariant_table& invariants);

/// Lends all that is left to the run of a request, which holds the budget until it ends.
unsigned lend_all_retries(retry_ledger& ledger, invariant_table& invariants);

/// Settles a loan when its answer is known; `spent` is cut to the loan.
void settle_loan(retry_ledger& ledger, unsigned loan, unsigned spent, invariant_table& invariants);

} // namespace baobabswitch
