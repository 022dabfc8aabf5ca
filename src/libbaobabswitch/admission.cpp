#include "admission.h"

#include <algorithm>
#include <optional>

namespace baobabswitch {

namespace {

queue_order make_queue_order(const admission_entry& entry, bool fifo) {
    if (fifo) {
        return {0, 0, entry.arrival};
    }
    return {entry.importance, entry.depth, entry.arrival};
}

std::size_t occupied_slots(const admission_table& table) {
    return table.running.size() + table.cancelling.size();
}

std::string describe_load(const admission_table& table) {
    std::map<int, std::pair<int, int>> levels;
    for (const auto& [call, it] : table.running) {
        ++levels[it.importance].first;
    }
    for (const auto& [order, it] : table.waiting) {
        ++levels[it.importance].second;
    }
    std::string text;
    for (const auto& [level, counts] : levels) {
        text += (text.empty() ? "" : ", ") + std::string{"importance "} + std::to_string(level) + ": " +
                std::to_string(counts.first) + " running, " + std::to_string(counts.second) + " waiting";
    }
    return text;
}

/// Returns the least important cancellable running call below an importance level. Of several equally
/// important ones, the call that arrived last is returned.
std::optional<std::string> find_cancellable(const admission_table& table, importance_level below) {
    const admission_entry* least = nullptr;
    for (const auto& [call, it] : table.running) {
        if (it.cancellable && it.importance < below &&
            (least == nullptr || it.importance < least->importance ||
             (it.importance == least->importance && it.arrival > least->arrival))) {
            least = &it;
        }
    }
    return least == nullptr ? std::nullopt : std::optional{least->call};
}

std::size_t waiting_at_or_above(const admission_table& table, importance_level level) {
    return static_cast<std::size_t>(
        std::count_if(table.waiting.begin(), table.waiting.end(),
                      [&](const auto& it) { return it.second.importance >= level; }));
}

std::size_t count_long(const std::unordered_map<std::string, admission_entry>& calls) {
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [](const auto& it) { return it.second.is_long; }));
}

/// Returns how many slots long calls may occupy: at most half while short calls wait, and never the reserve.
std::size_t long_slots(const admission_table& table) {
    const auto slots = table.limits.slots;
    const bool short_waits = std::any_of(table.waiting.begin(), table.waiting.end(),
                                         [](const auto& it) { return !it.second.is_long; });
    const auto reserve = std::min(table.limits.short_reserve, slots * 3 / 4);
    return std::max<std::size_t>(std::min(short_waits ? slots / 2 : slots, slots - reserve), 1);
}

double remaining_ms(const admission_entry& entry, time_point now) {
    return std::chrono::duration<double, std::milli>(entry.deadline - now).count();
}

/// Returns whether a call that starts after a wait would exceed its deadline. A share below 1 of the
/// expected service time is counted, to allow for estimation errors.
bool would_miss_deadline(const admission_entry& entry, double wait_ms, time_point now) {
    constexpr double service_time_share = 0.8;
    const double left = remaining_ms(entry, now);
    // At most half of the remaining time is counted, so a kind that always exceeds its timeout is still run
    // when it need not wait.
    return wait_ms + std::min(entry.expected_ms, left / 2) * service_time_share > left;
}

/// Returns whether a less important call is waiting, or is running and cancellable.
bool can_shed_below(const admission_table& table, importance_level importance) {
    return (!table.waiting.empty() && std::prev(table.waiting.end())->second.importance < importance) ||
           find_cancellable(table, importance);
}

/// Evicts the last call of a full queue if the new call precedes it by importance or depth.
void evict_lower_priority_call(admission_table& table, const admission_entry& entry,
                               admission_decision& decision) {
    if (table.waiting.empty() || table.waiting.size() < table.limits.queue) {
        return;
    }
    const auto last = std::prev(table.waiting.end());
    const auto& it = last->second;
    if (it.importance < entry.importance || (it.importance == entry.importance && it.depth < entry.depth)) {
        decision.evicted.push_back(it.call);
        table.waiting.erase(last);
    }
}

} // namespace

void classify_calls(admission_table& table, const std::set<std::string, std::less<>>& long_kinds) {
    for (auto* calls : {&table.running, &table.cancelling}) {
        for (auto& [call, it] : *calls) {
            it.is_long = long_kinds.contains(it.kind);
        }
    }
    for (auto& [order, it] : table.waiting) {
        it.is_long = long_kinds.contains(it.kind);
    }
}

bool can_start(const admission_table& table, const admission_entry& entry) {
    if (occupied_slots(table) >= table.limits.slots) {
        return false;
    }
    return table.limits.fifo || !entry.is_long ||
           count_long(table.running) + count_long(table.cancelling) < long_slots(table);
}

double expected_wait_ms(const admission_table& table, const admission_entry& entry) {
    if (can_start(table, entry)) {
        return 0;
    }
    const auto order = make_queue_order(entry, table.limits.fifo);
    double ahead = 0;
    for (const auto& [key, it] : table.waiting) {
        if (order < key) {
            break;
        }
        ahead += it.expected_ms;
    }
    double running = 0;
    for (const auto& [call, it] : table.running) {
        running += it.expected_ms;
    }
    const auto slots = static_cast<double>(std::max<std::size_t>(table.limits.slots, 1));
    // The next of `n` running calls is expected to end after 1/n of their mean service time.
    const auto n = static_cast<double>(std::max<std::size_t>(occupied_slots(table), 1));
    return ahead / slots + running / (n * n);
}

admission_decision submit_call(admission_table& table, admission_entry entry, time_point now,
                               invariant_table& invariants) {
    admission_decision decision;
    entry.arrival = ++table.arrivals;
    const bool fifo = table.limits.fifo;
    if (can_start(table, entry) && (!fifo || table.waiting.empty())) {
        decision.verdict = admission_verdict::run;
        auto call = entry.call;
        table.running.emplace(std::move(call), std::move(entry));
        return decision;
    }
    if (fifo) {
        if (table.waiting.size() < table.limits.queue) {
            decision.verdict = admission_verdict::queued;
            table.waiting.emplace(make_queue_order(entry, fifo), std::move(entry));
        } else {
            decision.reason = describe_load(table);
        }
        return decision;
    }
    const auto importance = entry.importance;
    evict_lower_priority_call(table, entry, decision);
    // Calls being cancelled free their slots soon, so the queue may exceed its limit by their number.
    const bool fits = table.waiting.size() < table.limits.queue + table.cancelling.size();
    const bool late = would_miss_deadline(entry, expected_wait_ms(table, entry), now);
    // Cancellation wastes work, so it is used only if the new call would otherwise be refused or late.
    if ((!fits || late) && table.cancelling.size() < waiting_at_or_above(table, importance) + 1) {
        if (const auto victim = find_cancellable(table, importance)) {
            decision.cancel.push_back(*victim);
            table.cancelling.insert(table.running.extract(*victim));
        }
    }
    const bool sheddable = !decision.cancel.empty() || can_shed_below(table, importance);
    if (!decision.cancel.empty() || (fits && (!late || sheddable))) {
        decision.verdict = admission_verdict::queued;
        table.waiting.emplace(make_queue_order(entry, fifo), std::move(entry));
        return decision;
    }
    check(invariants, invariant::shed_order, !sheddable, "refused while less important work could be shed");
    decision.reason = describe_load(table);
    return decision;
}

queue_changes remove_call(admission_table& table, std::string_view call, time_point now) {
    const std::string key{call};
    if (table.running.erase(key) == 0 && table.cancelling.erase(key) == 0) {
        std::erase_if(table.waiting, [&](const auto& it) { return it.second.call == call; });
    }
    return advance_queue(table, now);
}

queue_changes advance_queue(admission_table& table, time_point now) {
    queue_changes changes;
    std::erase_if(table.waiting, [&](const auto& it) {
        if (table.limits.fifo ? it.second.deadline > now : !would_miss_deadline(it.second, 0, now)) {
            return false;
        }
        changes.expired.push_back(it.second.call);
        return true;
    });
    for (auto it = table.waiting.begin();
         it != table.waiting.end() && occupied_slots(table) < table.limits.slots;) {
        if (!can_start(table, it->second)) {
            ++it;
            continue;
        }
        changes.start.push_back(it->second.call);
        auto entry = std::move(it->second);
        it = table.waiting.erase(it);
        auto call = entry.call;
        table.running.emplace(std::move(call), std::move(entry));
    }
    // Long calls that were skipped may start once no short call is waiting.
    const bool again = std::any_of(table.waiting.begin(), table.waiting.end(),
                                   [&](const auto& it) { return can_start(table, it.second); });
    if (again) {
        auto more = advance_queue(table, now);
        changes.start.insert(changes.start.end(), more.start.begin(), more.start.end());
    }
    return changes;
}

} // namespace baobabswitch
