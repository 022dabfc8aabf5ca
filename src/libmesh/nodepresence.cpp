#include "nodepresence.h"

#include <algorithm>

namespace baobabswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time for which a claim to watch the configuration is relied on.
constexpr seconds max_claim_lifetime{3};
/// Part of the time within which a configuration has to be in force: 1 / claim_divisor.
constexpr int claim_divisor = 2;
/// Age up to which a node counts as heard. Longer than a claim, so that a node which relies on this one is
/// not left out.
constexpr seconds heard_lifetime{6};
/// Time after which a lost node no longer counts; three windows of the retry budget.
constexpr seconds gone_after{30};
/// Interval between attempts to reach a lost node: a quarter of the time for which it has been lost, within
/// these bounds.
constexpr milliseconds min_check_interval{200};
constexpr seconds max_check_interval{30};
constexpr int check_interval_divisor = 4;

bool is_recent(boot_time_point at, boot_time_point now, boot_duration lifetime) {
    return at != boot_time_point{} && now - at <= lifetime;
}

} // namespace

void record_heard(node_presence& it, bool watches_config, boot_time_point now) {
    it.heard_at = now;
    it.watching_at = watches_config ? now : boot_time_point{};
    it.lost_since = {};
}

void record_unreachable(node_presence& it, boot_time_point now) {
    if (!is_lost(it)) {
        it.lost_since = now;
    }
    it.watching_at = {};
    const auto interval = (now - it.lost_since) / check_interval_divisor;
    it.next_check = now + std::clamp<boot_duration>(interval, min_check_interval, max_check_interval);
}

bool is_lost(const node_presence& it) {
    return it.lost_since != boot_time_point{};
}

bool is_gone(const node_presence& it, boot_time_point now) {
    return is_lost(it) && now - it.lost_since > gone_after;
}

bool was_heard_recently(const node_presence& it, boot_time_point now) {
    return is_recent(it.heard_at, now, heard_lifetime);
}

boot_duration claim_lifetime(boot_duration config_apply_time) {
    return std::min<boot_duration>(config_apply_time / claim_divisor, max_claim_lifetime);
}

bool claims_config_watch(const node_presence& it, boot_time_point now, boot_duration lifetime) {
    return is_recent(it.watching_at, now, lifetime);
}

bool is_check_due(const node_presence& it, boot_time_point now) {
    return is_lost(it) && it.next_check <= now;
}

} // namespace baobabswitch
