#include "concurrency.h"

#include <algorithm>

namespace baobabswitch {

namespace {

constexpr double overload_ratio = 2;      ///< multiple of the accepted slowdown that decreases the limit
constexpr double decrease_factor = 0.9;   ///< factor applied to the limit per slow round
constexpr double trial_limit_share = 0.6; ///< share of the original limit at which a decrease is evaluated
constexpr double ineffective_ratio_share = 0.85; ///< of the initial ratio; above it, the decrease failed
constexpr double base_growth_per_round = 0.0005; ///< lets a baseline that is too low recover
constexpr double slowdown_decay_per_round = 0.98;
constexpr std::size_t min_samples = 5;

} // namespace

void configure_concurrency(concurrency_limit& state, std::size_t slots) {
    slots = std::max<std::size_t>(slots, 1);
    if (slots != state.configured) {
        state.configured = slots;
        state.limit = static_cast<double>(slots);
        state.limit_before_decrease = 0;
    }
}

void record_concurrency_sample(concurrency_limit& state, const std::string& kind, duration own, bool full) {
    const double ms = std::chrono::duration<double, std::milli>(own).count();
    const auto [it, first] = state.base_ms.try_emplace(kind, ms);
    it->second = std::min(it->second, ms);
    state.ratio_sum += it->second > 0 ? ms / it->second : 1;
    ++state.samples;
    state.full = state.full || full;
}

std::size_t update_concurrency(concurrency_limit& state) {
    if (state.samples >= min_samples) {
        const double ratio = state.ratio_sum / static_cast<double>(state.samples);
        state.slowdown = std::max(1.0, std::min(state.slowdown * slowdown_decay_per_round, ratio));
        if (state.full && ratio > overload_ratio * state.slowdown) {
            if (state.limit_before_decrease == 0) {
                state.limit_before_decrease = state.limit;
                state.ratio_before_decrease = ratio;
            }
            state.limit = std::max(1.0, state.limit * decrease_factor);
            const bool trial_complete =
                state.limit <= std::max(1.0, state.limit_before_decrease * trial_limit_share);
            if (trial_complete && ratio > ineffective_ratio_share * state.ratio_before_decrease) {
                state.slowdown = ratio;
                state.limit = state.limit_before_decrease;
                state.limit_before_decrease = 0;
            }
        } else if (state.full) {
            state.limit = std::min(static_cast<double>(state.configured), state.limit + 1);
            state.limit_before_decrease = 0;
        }
        for (auto& [kind, base] : state.base_ms) {
            base *= 1 + base_growth_per_round;
        }
        state.ratio_sum = 0;
        state.samples = 0;
        state.full = false;
    }
    return current_concurrency(state);
}

std::size_t current_concurrency(const concurrency_limit& state) {
    return std::clamp<std::size_t>(static_cast<std::size_t>(state.limit), 1, state.configured);
}

} // namespace baobabswitch
