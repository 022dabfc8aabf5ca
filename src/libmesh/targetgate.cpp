#include "targetgate.h"

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

/// Part of the slots that is handed out: the services slow down from 95% of their slots on.
constexpr double usable_part = 0.94;
/// Part of its latency objective that a request may wait before it is refused.
constexpr double waitable_part = 0.125;
/// Part of the expected service time that must be left when a call starts. Below 1, since a call may be
/// faster than the mean.
constexpr double needed_part = 0.7;
/// Weight of one call in the mean service time and in the usual one.
constexpr double mean_weight = 0.05;
constexpr double baseline_weight = 0.004;
constexpr double slowness_weight = 0.05;
/// Expected service time of a route that never ran here, in ms.
constexpr double unknown_service_ms = 30;
/// Calls that may wait, as a multiple of the slots.
constexpr double queue_factor = 4;

double mean_service_ms(const target_gate& gate) {
    double sum = 0;
    for (const auto& [route, ms] : gate.service_ms) {
        sum += ms;
    }
    return gate.service_ms.empty() ? unknown_service_ms : sum / static_cast<double>(gate.service_ms.size());
}

void insert_waiting(target_gate& gate, waiting_call it) {
    const auto place =
        std::upper_bound(gate.waiting.begin(), gate.waiting.end(), it,
                         [](const waiting_call& a, const waiting_call& b) { return a.order < b.order; });
    gate.waiting.insert(place, std::move(it));
}

} // namespace

unsigned usable_slots(const target_gate& gate) {
    return std::max(1U, static_cast<unsigned>(std::floor(gate.slots * usable_part)));
}

boot_duration expected_service_time(const target_gate& gate, const std::string& route) {
    const auto it = gate.service_ms.find(route);
    return from_ms(it == gate.service_ms.end() ? unknown_service_ms : it->second);
}

double utilization(const target_gate& gate) {
    return (gate.running + static_cast<double>(gate.waiting.size())) / usable_slots(gate);
}

slot_decision request_slot(target_gate& gate, const slot_request& request, boot_time_point now) {
    const auto capacity = usable_slots(gate);
    if (gate.running < capacity && gate.waiting.empty()) {
        ++gate.running;
        return slot_decision::start;
    }
    const auto needed = from_ms(to_ms(expected_service_time(gate, request.route)) * needed_part);
    auto patience = request.left - needed;
    if (!request.nested) {
        patience = std::min(patience, from_ms(to_ms(request.objective) * waitable_part));
        const double expected_wait =
            static_cast<double>(gate.waiting.size() + 1) * mean_service_ms(gate) / capacity;
        if (expected_wait > to_ms(patience)) {
            return slot_decision::refuse;
        }
    }
    if (patience <= boot_duration::zero() ||
        static_cast<double>(gate.waiting.size()) >= queue_factor * capacity) {
        return slot_decision::refuse;
    }
    // Half of the objective orders calls with a short objective before those with a long one.
    insert_waiting(gate, {request, now, now + patience, now + request.objective / 2});
    return slot_decision::wait;
}

void release_slot(target_gate& gate, const std::string& route, std::optional<boot_duration> service_time) {
    if (gate.running > 0) {
        --gate.running;
    }
    if (!service_time) {
        return;
    }
    const double ms = std::max(0.1, to_ms(*service_time));
    auto& mean = gate.service_ms.try_emplace(route, ms).first->second;
    mean += mean_weight * (ms - mean);
    auto& usual = gate.baseline_ms.try_emplace(route, ms).first->second;
    usual += baseline_weight * (ms - usual);
    gate.slowness += slowness_weight * (std::min(ms / usual, 20.0) - gate.slowness);
}

std::vector<run_id> start_waiting(target_gate& gate, boot_time_point now) {
    std::vector<run_id> started;
    while (gate.running < usable_slots(gate) && !gate.waiting.empty()) {
        if (gate.waiting.front().start_by < now) {
            break; // expire_waiting() takes it out
        }
        started.push_back(gate.waiting.front().request.id);
        gate.waiting.erase(gate.waiting.begin());
        ++gate.running;
    }
    return started;
}

std::vector<run_id> expire_waiting(target_gate& gate, boot_time_point now) {
    std::vector<run_id> expired;
    std::erase_if(gate.waiting, [&](const waiting_call& it) {
        if (it.start_by >= now) {
            return false;
        }
        expired.push_back(it.request.id);
        return true;
    });
    return expired;
}

bool remove_waiting(target_gate& gate, run_id id) {
    return std::erase_if(gate.waiting, [&](const waiting_call& it) { return it.request.id == id; }) > 0;
}

} // namespace baobabswitch
