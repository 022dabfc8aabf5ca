#include "concurrencylimiter.h"

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

/// Fraction of the slots that is used: services slow down at 95% of their slots and above.
constexpr double usable_fraction = 0.94;
/// Maximum queue wait of a request as a fraction of its latency objective. The request is refused if the
/// expected wait is longer, and expires in the queue if the actual wait is.
constexpr double max_wait_fraction = 0.125;
/// Fraction of the expected service time that must remain when a call starts. Below 1, since a call may be
/// faster than the mean.
constexpr double min_service_time_fraction = 0.7;
/// Weights of one call in the mean service time, in the baseline and in the slowness.
constexpr double mean_weight = 0.05;
constexpr double baseline_weight = 0.004;
constexpr double slowness_weight = 0.05;
/// Expected service time of a route that has not run here yet.
constexpr double unknown_service_ms = 30;
/// Maximum queue length as a multiple of the usable slots.
constexpr double queue_factor = 4;

double mean_service_ms(const concurrency_limiter& limiter) {
    double sum = 0;
    for (const auto& [route, ms] : limiter.service_ms) {
        sum += ms;
    }
    return limiter.service_ms.empty() ? unknown_service_ms
                                      : sum / static_cast<double>(limiter.service_ms.size());
}

void insert_waiting(concurrency_limiter& limiter, waiting_call it) {
    const auto place = std::upper_bound(
        limiter.waiting.begin(), limiter.waiting.end(), it,
        [](const waiting_call& a, const waiting_call& b) { return a.sort_key < b.sort_key; });
    limiter.waiting.insert(place, std::move(it));
}

} // namespace

unsigned usable_slots(const concurrency_limiter& limiter) {
    return std::max(1U, static_cast<unsigned>(std::floor(limiter.slots * usable_fraction)));
}

boot_duration expected_service_time(const concurrency_limiter& limiter, const std::string& route) {
    const auto it = limiter.service_ms.find(route);
    return from_ms(it == limiter.service_ms.end() ? unknown_service_ms : it->second);
}

double utilization(const concurrency_limiter& limiter) {
    return (limiter.running + static_cast<double>(limiter.waiting.size())) / usable_slots(limiter);
}

slot_decision request_slot(concurrency_limiter& limiter, const slot_request& request, boot_time_point now) {
    const auto capacity = usable_slots(limiter);
    if (limiter.running < capacity && limiter.waiting.empty()) {
        ++limiter.running;
        return slot_decision::start;
    }
    const auto needed =
        from_ms(to_ms(expected_service_time(limiter, request.route)) * min_service_time_fraction);
    auto max_wait = request.time_left - needed;
    if (!request.nested) {
        max_wait = std::min(max_wait, from_ms(to_ms(request.latency_objective) * max_wait_fraction));
        const double expected_wait =
            static_cast<double>(limiter.waiting.size() + 1) * mean_service_ms(limiter) / capacity;
        if (expected_wait > to_ms(max_wait)) {
            return slot_decision::refuse;
        }
    }
    if (max_wait <= boot_duration::zero() ||
        static_cast<double>(limiter.waiting.size()) >= queue_factor * capacity) {
        return slot_decision::refuse;
    }
    const auto objective_part = from_ms(to_ms(request.latency_objective) * max_wait_fraction);
    insert_waiting(limiter, {request, now, now + max_wait, now + max_wait + objective_part});
    return slot_decision::wait;
}

void release_slot(concurrency_limiter& limiter, const std::string& route,
                  std::optional<boot_duration> service_time) {
    if (limiter.running > 0) {
        --limiter.running;
    }
    if (!service_time) {
        return;
    }
    const double ms = std::max(0.1, to_ms(*service_time));
    auto& mean = limiter.service_ms.try_emplace(route, ms).first->second;
    mean += mean_weight * (ms - mean);
    auto& baseline = limiter.baseline_ms.try_emplace(route, ms).first->second;
    baseline += baseline_weight * (ms - baseline);
    limiter.slowness += slowness_weight * (std::min(ms / baseline, 20.0) - limiter.slowness);
}

std::vector<run_id> start_waiting(concurrency_limiter& limiter, boot_time_point now) {
    std::vector<run_id> started;
    while (limiter.running < usable_slots(limiter) && !limiter.waiting.empty()) {
        if (limiter.waiting.front().start_by < now) {
            break; // expire_waiting() removes it
        }
        started.push_back(limiter.waiting.front().request.id);
        limiter.waiting.erase(limiter.waiting.begin());
        ++limiter.running;
    }
    return started;
}

std::vector<run_id> expire_waiting(concurrency_limiter& limiter, boot_time_point now) {
    std::vector<run_id> expired;
    std::erase_if(limiter.waiting, [&](const waiting_call& it) {
        if (it.start_by >= now) {
            return false;
        }
        expired.push_back(it.request.id);
        return true;
    });
    return expired;
}

bool remove_waiting(concurrency_limiter& limiter, run_id id) {
    return std::erase_if(limiter.waiting, [&](const waiting_call& it) { return it.request.id == id; }) > 0;
}

} // namespace baobabswitch
