#include "bytebudget.h"

#include <algorithm>

namespace baobabswitch {

std::size_t available(byte_budget& budget, time_point now) {
    if (now > budget.updated) {
        const std::chrono::duration<double> passed = now - budget.updated;
        budget.tokens =
            std::min(control_bytes_per_second, budget.tokens + passed.count() * control_bytes_per_second);
        budget.updated = now;
    }
    return static_cast<std::size_t>(std::max(budget.tokens, 0.0));
}

bool spend(byte_budget& budget, std::size_t n, time_point now) {
    if (available(budget, now) < n) {
        return false;
    }
    budget.tokens -= static_cast<double>(n);
    return true;
}

void spend_on_answer(byte_budget& budget, std::size_t n, time_point now) {
    available(budget, now);
    budget.tokens = std::max(budget.tokens - static_cast<double>(n), -control_bytes_per_second);
}

} // namespace baobabswitch
