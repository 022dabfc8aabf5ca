#include "fleetmodel.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>

using namespace baobabswitch;

namespace {

constexpr double tick_ms = 50;
/// Time from a decision at one node to its effect at another.
constexpr double hop_ms = 1;
/// Targets that a call tries after the first one refused it.
constexpr std::size_t max_further_targets = 3;
const std::string tight_service = "tight";

struct request {
    std::size_t kind = 0;
    std::size_t entry = 0;
    double priority = 0;
    double sent_ms = 0;
    unsigned chains_left = 0;
    bool counted = false;
    bool ended = false;
};

struct call {
    std::shared_ptr<request> owner;
    unsigned left = 0; ///< calls of the chain, this one included
    std::vector<std::size_t> tried;
    double dispatched_ms = 0;
};

class model {
public:
    model(const fleet_options& options, std::vector<fleet_kind> kinds)
        : options_(options),
          kinds_(std::move(kinds)),
          random_(options.seed),
          entries_(options.entry_nodes),
          targets_(options.targets) {
        double max_level = 1;
        for (const auto& it : kinds_) {
            max_level = std::max(max_level, it.rank + 1.0);
        }
        for (auto& it : entries_) {
            it.max_level = max_level;
        }
        for (auto& it : targets_) {
            it.limiter.slots = options.slots;
            it.level = {max_level, max_level, 0, max_level};
        }
        relay_.max_level = max_level;
    }

    fleet_report play() {
        at(0, [this] { arrive(); });
        at(tick_ms, [this] { tick(); });
        const double end_ms = options_.seconds * 1000;
        while (!events_.empty() && events_.top().ms <= end_ms) {
            now_ms_ = events_.top().ms;
            const auto fn = events_.top().fn;
            events_.pop();
            fn();
        }
        return report();
    }

private:
    struct event {
        double ms = 0;
        std::uint64_t order = 0;
        std::function<void()> fn;
        bool operator<(const event& other) const {
            return ms != other.ms ? ms > other.ms : order > other.order;
        }
    };
    struct target {
        concurrency_limiter limiter;
        level_control level;
        std::map<run_id, call> calls;
        double busy_ms = 0; ///< integral of the running calls
    };

    boot_time_point now() const {
        return boot_time_point{} + std::chrono::hours{1} + from_ms(now_ms_);
    }
    void at(double delay_ms, std::function<void()> fn) {
        events_.push({now_ms_ + delay_ms, ++order_, std::move(fn)});
    }
    double uniform() {
        return std::uniform_real_distribution<double>{0, 1}(random_);
    }
    double service_ms(double mean) {
        constexpr double spread = 0.5;
        return mean * std::lognormal_distribution<double>{-spread * spread / 2, spread}(random_);
    }

    double rate() const {
        const double s = now_ms_ / 1000;
        const double wave = 1 + options_.wave_swing * std::sin(2 * M_PI * s / options_.wave_s);
        const bool surge = s >= options_.surge_from_s && s < options_.surge_to_s;
        return options_.requests_per_s * wave * (surge ? options_.surge_factor : 1);
    }

    void arrive() {
        at(std::exponential_distribution<double>{rate() / 1000}(random_), [this] { arrive(); });
        auto it = std::make_shared<request>();
        double draw = uniform();
        while (it->kind + 1 < kinds_.size() && draw >= kinds_[it->kind].share) {
            draw -= kinds_[it->kind].share;
            ++it->kind;
        }
        it->counted = now_ms_ >= options_.count_from_s * 1000;
        auto& kind = kinds_[it->kind];
        kind.asked += it->counted ? 1 : 0;
        it->entry = random_() % entries_.size();
        it->sent_ms = now_ms_;
        it->priority = kind.rank + uniform();
        if (it->priority >= level_for_route(entries_[it->entry], kind.name, now()).level) {
            kind.refused += it->counted ? 1 : 0;
            return;
        }
        it->chains_left = kind.chains;
        at(kind.timeout_ms, [this, it] { end(*it, false); });
        at(service_ms(kind.work_ms) + hop_ms, [this, it] {
            for (unsigned n = 0; n < kinds_[it->kind].chains; ++n) {
                start_call({it, kinds_[it->kind].calls, {}, 0});
            }
        });
    }

    void end(request& it, bool success) {
        if (it.ended) {
            return;
        }
        it.ended = true;
        auto& kind = kinds_[it.kind];
        if (!success) {
            kind.failed += it.counted ? 1 : 0;
        } else if (now_ms_ - it.sent_ms <= kind.objective_ms) {
            kind.served += it.counted ? 1 : 0;
        }
        auto& known = entries_[it.entry];
        if (success) {
            observe_costs(known, kind.name, {{tight_service, kind.chains * kind.calls * options_.call_ms}});
        }
        // Nested calls report to the node of their caller; its estimate travels back with the request.
        if (const auto relayed = relay_.levels.find(tight_service); relayed != relay_.levels.end()) {
            observe_level(known, tight_service, relayed->second);
        }
    }

    /// Returns the less busy of two random targets that were not tried, as fresh load reports would have it.
    std::optional<std::size_t> choose(const std::vector<std::size_t>& tried) {
        std::vector<std::size_t> left;
        for (std::size_t n = 0; n < targets_.size(); ++n) {
            if (std::find(tried.begin(), tried.end(), n) == tried.end()) {
                left.push_back(n);
            }
        }
        if (left.empty() || tried.size() > max_further_targets) {
            return std::nullopt;
        }
        const auto a = left[random_() % left.size()];
        const auto b = left[random_() % left.size()];
        return utilization(targets_[a].limiter) <= utilization(targets_[b].limiter) ? a : b;
    }

    void start_call(call it) {
        if (it.owner->ended) {
            return;
        }
        const auto chosen = choose(it.tried);
        if (!chosen) {
            end(*it.owner, false);
            return;
        }
        it.tried.push_back(*chosen);
        auto& target = targets_[*chosen];
        const auto& kind = kinds_[it.owner->kind];
        const auto id = ++last_call_;
        const double left_ms = kind.timeout_ms - (now_ms_ - it.owner->sent_ms);
        const bool nested = kind.work_ms > 0;
        const slot_request wanted{id,
                                  kind.name,
                                  nested,
                                  it.owner->priority,
                                  from_ms(left_ms),
                                  from_ms(nested ? 300 : kind.objective_ms)};
        const auto decision = request_slot(target.limiter, wanted, now());
        target.calls.emplace(id, it);
        if (decision == slot_decision::start) {
            dispatch(*chosen, id);
        } else if (decision == slot_decision::refuse) {
            refuse(*chosen, id);
        }
    }

    void dispatch(std::size_t n, run_id id) {
        targets_[n].calls.at(id).dispatched_ms = now_ms_;
        const double ms = service_ms(options_.call_ms);
        targets_[n].busy_ms += ms;
        at(ms, [this, n, id] { finish(n, id); });
    }

    void finish(std::size_t n, run_id id) {
        auto& target = targets_[n];
        const auto it = target.calls.at(id);
        target.calls.erase(id);
        release_slot(target.limiter, kinds_[it.owner->kind].name, from_ms(now_ms_ - it.dispatched_ms));
        start_queued(n);
        observe_level(relay_, tight_service, {target.level.level, now()});
        if (it.owner->ended) {
            return;
        }
        if (it.left > 1) {
            at(hop_ms, [this, it] { start_call({it.owner, it.left - 1, {}, 0}); });
        } else if (--it.owner->chains_left == 0) {
            at(hop_ms, [this, it] { end(*it.owner, true); });
        }
    }

    void refuse(std::size_t n, run_id id) {
        const auto it = targets_[n].calls.at(id);
        targets_[n].calls.erase(id);
        observe_level(relay_, tight_service, {targets_[n].level.level, now()});
        at(hop_ms, [this, it] { start_call(it); });
    }

    void start_queued(std::size_t n) {
        for (const auto id : expire_waiting(targets_[n].limiter, now())) {
            refuse(n, id);
        }
        for (const auto id : start_waiting(targets_[n].limiter, now())) {
            dispatch(n, id);
        }
    }

    void tick() {
        at(tick_ms, [this] { tick(); });
        for (std::size_t n = 0; n < targets_.size(); ++n) {
            start_queued(n);
            update_level(targets_[n].level, utilization(targets_[n].limiter), from_ms(tick_ms));
        }
    }

    fleet_report report() {
        fleet_report it;
        double asked = 0;
        double served = 0;
        for (const auto& kind : kinds_) {
            asked += kind.asked * kind.worth;
            served += kind.served * kind.worth;
        }
        it.worth = served / asked;
        for (const auto& target : targets_) {
            it.busy += target.busy_ms / (options_.seconds * 1000 * usable_slots(target.limiter)) /
                       static_cast<double>(targets_.size());
        }
        it.kinds = std::move(kinds_);
        return it;
    }

    fleet_options options_;
    std::vector<fleet_kind> kinds_;
    std::mt19937_64 random_;
    std::vector<admission_estimates> entries_;
    std::vector<target> targets_;
    admission_estimates
        relay_; ///< of the nodes whose targets make the nested calls, which exchange many calls
    std::priority_queue<event> events_;
    double now_ms_ = 0;
    std::uint64_t order_ = 0;
    run_id last_call_ = 0;
};

} // namespace

fleet_report play_fleet(const fleet_options& options, std::vector<fleet_kind> kinds) {
    return model{options, std::move(kinds)}.play();
}

std::vector<fleet_kind> booking_site_kinds() {
    return {{"read", 2, 1, 0.6, 280, 1, 4, 1500, 1500},
            {"booking", 0, 3, 0.2, 300, 2, 4, 2500, 2000},
            {"purchase", 1, 2, 0.2, 0, 1, 1, 800, 400}};
}
