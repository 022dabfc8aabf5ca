#include "storebudget.h"

#include <algorithm>
#include <string>

namespace baobabswitch {

namespace {

constexpr std::chrono::seconds call_window_length{10};

/// Returns the burst size of a bucket: the calls of one second, at least one.
double burst(double rate) {
    return std::max(1.0, rate);
}

store_budget::account& find_account(store_budget& budget, store_operation operation, store_share share) {
    if (share == store_share::watcher) {
        return operation == store_operation::read ? budget.watcher_reads : budget.watcher_writes;
    }
    return operation == store_operation::read ? budget.member_reads : budget.member_writes;
}

double tokens_at(const token_bucket& bucket, double rate, time_point now) {
    const auto elapsed = std::max(0.0, std::chrono::duration<double>(now - bucket.refilled).count());
    return std::min(burst(rate), bucket.tokens + elapsed * rate);
}

/// Counts a call and checks that the window's calls stay within its highest allowed rate.
void count_call(call_window& window, double rate, time_point now, invariant_table& invariants) {
    if (now - window.start > call_window_length) {
        window = {now, 0, 0};
    }
    ++window.calls;
    window.max_rate = std::max(window.max_rate, rate);
    const auto elapsed = std::chrono::duration<double>(now - window.start).count();
    const auto max_calls = burst(window.max_rate) + window.max_rate * elapsed + 1;
    check(invariants, invariant::store_rate, static_cast<double>(window.calls) <= max_calls,
          std::to_string(window.calls) + " platform calls in " + std::to_string(elapsed) + " s");
}

} // namespace

duration delay_bound(const backoff& state) {
    auto bound = backoff_base;
    for (unsigned n = 0; n < state.failures && bound < backoff_cap; ++n) {
        bound *= 2;
    }
    return std::min(bound, backoff_cap);
}

duration next_delay(backoff& state, std::mt19937_64& rng) {
    const auto bound = delay_bound(state);
    ++state.failures;
    return duration{std::uniform_int_distribution<duration::rep>{0, bound.count()}(rng)};
}

void reset(backoff& state) {
    state.failures = 0;
}

store_budget make_store_budget(time_point now) {
    const store_budget::account empty{{0, now}, {now, 0, 0}};
    return {empty, empty, empty, empty};
}

double allowed_rate(store_operation operation, store_share share, std::size_t live_members) {
    const bool read = operation == store_operation::read;
    const auto reserved = read ? watcher_reads_per_second : watcher_writes_per_second;
    if (share == store_share::watcher) {
        return reserved;
    }
    const auto domain_rate = read ? domain_reads_per_second : domain_writes_per_second;
    const auto members = static_cast<double>(std::max<std::size_t>(1, live_members));
    return (domain_rate - reserved * watchers_per_domain) / members;
}

bool try_spend(store_budget& budget, store_operation operation, store_share share, std::size_t live_members,
               time_point now, invariant_table& invariants) {
    auto& it = find_account(budget, operation, share);
    const auto rate = allowed_rate(operation, share, live_members);
    it.bucket.tokens = tokens_at(it.bucket, rate, now);
    it.bucket.refilled = std::max(it.bucket.refilled, now);
    if (it.bucket.tokens < 1) {
        return false;
    }
    it.bucket.tokens -= 1;
    count_call(it.window, rate, now, invariants);
    return true;
}

duration time_until_allowed(const store_budget& budget, store_operation operation, store_share share,
                            std::size_t live_members, time_point now) {
    auto copy = budget;
    const auto rate = allowed_rate(operation, share, live_members);
    const auto missing = 1 - tokens_at(find_account(copy, operation, share).bucket, rate, now);
    if (missing <= 0) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / rate)) + duration{1};
}

} // namespace baobabswitch
