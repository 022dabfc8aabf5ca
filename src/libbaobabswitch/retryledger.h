#pragma once

#include "invariants.h"

namespace baobabswitch {

/// Retry budget of one call. Retries lent to a child call are subtracted, not copied, so the total over the
/// whole call graph can't exceed the budget granted at entry.
struct retry_ledger {
    unsigned granted = 0;
    unsigned spent = 0;
    unsigned lent = 0; ///< lent to child calls or hops whose responses are outstanding or lost
};

/// Returns the number of retries that are neither spent nor lent.
unsigned remaining_retries(const retry_ledger& ledger);

/// Consumes one retry for an attempt after the first; returns false if none remains.
bool take_retry(retry_ledger& ledger, invariant_table& invariants);

/// Lends half of the remaining retries, rounded up, to a child call or to an attempt, and returns the amount.
unsigned lend_retries(retry_ledger& ledger, invariant_table& invariants);

/// Lends all remaining retries to a run of the request until it ends, and returns the amount.
unsigned lend_all_retries(retry_ledger& ledger, invariant_table& invariants);

/// Settles a loan when the borrower has ended: counts its spent retries, at most the loan, and returns the
/// rest to the budget.
void settle_loan(retry_ledger& ledger, unsigned loan, unsigned spent, invariant_table& invariants);

} // namespace baobabswitch
