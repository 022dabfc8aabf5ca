#include "retryledger.h"

#include <algorithm>

namespace baobabswitch {

namespace {

void check_bound(const retry_ledger& ledger, invariant_table& invariants) {
    check(invariants, invariant::retry_bound, ledger.spent + ledger.lent <= ledger.granted,
          "a call spent more retries than it was granted");
}

} // namespace

unsigned remaining_retries(const retry_ledger& ledger) {
    return ledger.granted - std::min(ledger.granted, ledger.spent + ledger.lent);
}

bool take_retry(retry_ledger& ledger, invariant_table& invariants) {
    if (remaining_retries(ledger) == 0) {
        return false;
    }
    ++ledger.spent;
    check_bound(ledger, invariants);
    return true;
}

unsigned lend_retries(retry_ledger& ledger, invariant_table& invariants) {
    const auto loan = (remaining_retries(ledger) + 1) / 2;
    ledger.lent += loan;
    check_bound(ledger, invariants);
    return loan;
}

unsigned lend_all_retries(retry_ledger& ledger, invariant_table& invariants) {
    const auto loan = remaining_retries(ledger);
    ledger.lent += loan;
    check_bound(ledger, invariants);
    return loan;
}

void settle_loan(retry_ledger& ledger, unsigned loan, unsigned spent, invariant_table& invariants) {
    check(invariants, invariant::retry_bound, spent <= loan, "a borrower spent more retries than its loan");
    ledger.lent -= std::min(ledger.lent, loan);
    ledger.spent += std::min(spent, loan);
    check_bound(ledger, invariants);
}

} // namespace baobabswitch
