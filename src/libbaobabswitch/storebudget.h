#pragma once

#include "eventloop.h"
#include "invariants.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace baobabswitch {

/// Initial and maximum bound of the random delay before a platform call is retried.
inline constexpr milliseconds backoff_base{200};
inline constexpr milliseconds backoff_cap{30'000};

/// Consecutive failures of calls to the platform.
struct backoff {
    unsigned failures = 0;
};

/// Counts a failure and returns the delay before the next call: uniform between 0 and a bound that doubles
/// with each failure (full jitter), so that nodes which failed together do not retry together.
duration next_delay(backoff& state, std::mt19937_64& rng);
/// Returns the bound of the delay that next_delay() would draw from.
duration delay_bound(const backoff& state);
/// Counts a success.
void reset(backoff& state);

/// Calls per second that a failure domain may make to the platform (design §7.2).
inline constexpr double domain_writes_per_second = 40;
inline constexpr double domain_reads_per_second = 50;
/// Of these, calls per second reserved for each of the domain's watchers; the rest is divided by the domain's
/// live members. A watcher's status write each 2 s is more than a member's share in a domain of over 78
/// members.
inline constexpr double watcher_writes_per_second = 0.5;
inline constexpr double watcher_reads_per_second = 2;
inline constexpr std::size_t watchers_per_domain = 2;

enum class store_operation { read, write };

/// The share of the domain's budget that a call is charged to.
enum class store_share {
    member,  ///< this node's share of its domain
    watcher, ///< a watcher's reserve, for its watch and for status
};

/// Tokens for calls, refilled at a rate that may change.
struct token_bucket {
    double tokens = 0;
    time_point refilled;
};

/// Counts calls independently of the tokens, to check the invariant store_rate.
struct call_window {
    time_point start;
    std::size_t calls = 0;
    double max_rate = 0; ///< highest rate allowed during the window
};

/// One node's part of its failure domain's budget.
struct store_budget {
    struct account {
        token_bucket bucket;
        call_window window;
    };
    account member_reads;
    account member_writes;
    account watcher_reads;
    account watcher_writes;
};

/// Returns a budget without tokens: a whole domain that restarts together must not spend a burst of one
/// call per node.
store_budget make_store_budget(time_point now);

/// Returns the calls per second that one share allows in a domain with this many live members.
double allowed_rate(store_operation operation, store_share share, std::size_t live_members);

/// Spends a token for one call if one is available.
bool try_spend(store_budget& budget, store_operation operation, store_share share, std::size_t live_members,
               time_point now, invariant_table& invariants);

/// Returns how long until try_spend() would succeed, if the number of live members stays.
duration time_until_allowed(const store_budget& budget, store_operation operation, store_share share,
                            std::size_t live_members, time_point now);

} // namespace baobabswitch
