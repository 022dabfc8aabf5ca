#include "retryledger.h"

#include <algorithm>

namespace baobabswitch {

namespace {

void check_bound(const retry_ledger& ledger, invariant_table& invariants) {
    check(invariants, invariant::retry_bound, ledger.spent + ledger.lent <= ledger.granted,
          "a call spent more retries than it was granted");
}

} // namespace

unsigned left(const retry_ledger& ledger) {
    return ledger.granted - std::min(ledger.granted, ledger.spent + ledger.lent);
}

bool take(retry_ledger& ledger, invariant_table& invariants) {
    if (left(ledger) == 0) {
        return false;
    }
    ++ledger.spent;
    check_bound(ledger, invariants);
    return true;
}

unsigned lend(retry_ledger& ledger, invariant_table& invariants) {
    const auto loan = (left(ledger) + 1) / 2;
    ledger.lent += loan;
    check_bound(ledger, invariants);
    return loan;
}

unsigned lend_all(retry_ledger& ledger, invariant_table& invariants) {
    const auto loan = left(ledger);
    ledger.lent += loan;
    check_bound(ledger, invariants);
    return loan;
}

void give_back(retry_ledger& ledger, unsigned loan, unsigned spent, invariant_table& invariants) {
    check(invariants, invariant::retry_bound, spent <= loan, "a borrower spent more retries than its loan");
    ledger.lent -= std::min(ledger.lent, loan);
    ledger.spent += std::min(spent, loan);
    check_bound(ledger, invariants);
}

} // namespace baobabswitch
