#include "bytebudget.h"

#include <algorithm>

namespace baobabswitch {

std::size_t available_bytes(byte_budget& budget, time_point now) {
    if (now > budget.updated) {
        const std::chrono::duration<double> passed = now - budget.updated;
        budget.tokens =
            std::min(control_bytes_per_second, budget.tokens + passed.count() * control_bytes_per_second);
        budget.updated = now;
    }
    return static_cast<std::size_t>(std::max(budget.tokens, 0.0));
}

bool spend_bytes(byte_budget& budget, std::size_t n, time_point now) {
    if (available_bytes(budget, now) < n) {
        return false;
    }
    budget.tokens -= static_cast<double>(n);
    return true;
}

void charge_response_bytes(byte_budget& budget, std::size_t n, time_point now) {
    available_bytes(budget, now);
    budget.tokens = std::max(budget.tokens - static_cast<double>(n), -control_bytes_per_second);
}

} // namespace baobabswitch
