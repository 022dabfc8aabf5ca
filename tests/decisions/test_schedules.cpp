#include "admission.h"
#include "concurrency.h"
#include "servicetimes.h"
#include "thresholds.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <random>

using namespace baobabswitch;

namespace {

constexpr int schedule_count = 10'000;
constexpr int steps_per_schedule = 80;

struct test_kind {
    std::string name;
    importance_level importance;
    int service_ms;
    bool cancellable;
};

struct test_call {
    std::size_t kind = 0;
    bool running = false;
    time_point started;
    time_point due;
};

/// Simulates a node and its target: combines admission, concurrency limit, service times and thresholds under
/// random events in simulated time.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : rng_(seed) {
        invariants_.on_violation = [](invariant, std::string_view detail) {
            throw std::runtime_error{std::string{detail}};
        };
        table_.limits.slots = pick(1, 12);
        table_.limits.queue = pick(0, 20);
        configure_concurrency(limit_, table_.limits.slots);
        const auto kinds = pick(2, 5);
        for (std::size_t n = 0; n < kinds; ++n) {
            const auto importance = static_cast<importance_level>(pick(0, max_importance));
            const bool is_long = pick(0, 3) == 0;
            kinds_.push_back({"k" + std::to_string(n), importance,
                              static_cast<int>(pick(10, 60)) * (is_long ? 20 : 1), pick(0, 1) == 0});
            greatest_importance_ = std::max(greatest_importance_, importance);
        }
        mean_interarrival_ms_ = static_cast<double>(pick(1, 60));
    }

    void run() {
        for (int n = 0; n < steps_per_schedule; ++n) {
            arrive();
            advance(std::exponential_distribution<double>{1 / mean_interarrival_ms_}(rng_));
        }
        constexpr double drain_ms = 60'000;
        advance(drain_ms);
        require(calls_.empty(), "a call never ended");
        require(submitted_ == ended_, "the number of ended calls differs from that of submitted calls");
    }

private:
    std::size_t pick(std::size_t least, std::size_t most) {
        return std::uniform_int_distribution<std::size_t>{least, most}(rng_);
    }

    static void require(bool condition, const char* what) {
        if (!condition) {
            throw std::runtime_error{what};
        }
    }

    void arrive() {
        const auto kind = pick(0, kinds_.size() - 1);
        const auto& it = kinds_.at(kind);
        const auto depth = static_cast<unsigned>(pick(0, 2));
        const double share = admitted_share(meter_.level, it.importance, depth);
        if (it.importance == greatest_importance_ && share < 1) {
            require(meter_.slots.at(greatest_importance_) > 0.79 * static_cast<double>(table_.limits.slots),
                    "the most important kind is refused at entry although its demand fits");
        }
        if (std::uniform_real_distribution<double>{0, 1}(rng_) >= share) {
            return;
        }
        const auto call = "c" + std::to_string(++submitted_);
        const auto expected = expected_service_ms(times_, it.name);
        const bool is_long = is_long_kind(times_, it.name);
        count_demand(meter_, it.importance, expected, 1 / share, is_long);
        calls_[call] = {kind, false, {}, {}};
        const auto deadline = now_ + milliseconds{pick(20, 3000)};
        const auto decision = submit_call(
            table_, {call, it.name, it.importance, depth, it.cancellable, deadline, 0, expected, is_long},
            now_, invariants_);
        for (const auto& victim : decision.evicted) {
            require(kinds_.at(calls_.at(victim).kind).importance <= it.importance,
                    "evicted a more important call");
            require(!calls_.at(victim).running, "evicted a running call");
            end(victim);
        }
        for (const auto& victim : decision.cancel) {
            require(kinds_.at(calls_.at(victim).kind).importance < it.importance,
                    "cancelled a call of equal or higher importance");
            require(kinds_.at(calls_.at(victim).kind).cancellable,
                    "cancelled a call that is not cancellable");
            // The target confirms the cancellation later, or the call completes first.
            auto& running = calls_.at(victim);
            running.due = std::min(running.due, now_ + milliseconds{pick(0, 20)});
        }
        if (decision.verdict == admission_verdict::run) {
            start(call);
        } else if (decision.verdict == admission_verdict::refused) {
            for (const auto& [key, other] : table_.waiting) {
                require(other.importance >= it.importance, "refused while less important work waits");
            }
            for (const auto& [key, other] : table_.running) {
                require(!other.cancellable || other.importance >= it.importance,
                        "refused while less important work could be cancelled");
            }
            end(call);
        }
        check_state();
    }

    void start(const std::string& call) {
        auto& it = calls_.at(call);
        require(!it.running, "a call was started twice");
        it.running = true;
        it.started = now_;
        it.due = now_ + milliseconds{kinds_.at(it.kind).service_ms};
    }

    void end(const std::string& call) {
        require(calls_.erase(call) == 1, "a call ended twice");
        ++ended_;
    }

    void apply(const queue_changes& changes) {
        for (const auto& it : changes.expired) {
            require(!calls_.at(it).running, "a running call expired in the queue");
            end(it);
        }
        for (const auto& it : changes.start) {
            start(it);
        }
        check_state();
    }

    /// Advances simulated time, processing completions and ticks in order.
    void advance(double ms) {
        const auto until =
            now_ + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
        while (now_ < until) {
            auto next = calls_.end();
            for (auto it = calls_.begin(); it != calls_.end(); ++it) {
                if (it->second.running && (next == calls_.end() || it->second.due < next->second.due)) {
                    next = it;
                }
            }
            if (next != calls_.end() && next->second.due <= std::min(until, next_tick_)) {
                now_ = std::max(now_, next->second.due);
                complete_call(next->first);
            } else if (next_tick_ <= until) {
                now_ = next_tick_;
                tick();
                if (calls_.empty() && until - now_ > std::chrono::seconds{10}) {
                    return;
                }
            } else {
                now_ = until;
            }
        }
    }

    void complete_call(const std::string& finished) {
        const auto call = finished;
        const auto it = calls_.at(call);
        const auto& kind = kinds_.at(it.kind);
        if (!table_.cancelling.contains(call)) {
            record_service_time(times_, kind.name, now_ - it.started);
            record_concurrency_sample(limit_, kind.name, now_ - it.started,
                                      table_.running.size() >= table_.limits.slots);
        }
        end(call);
        apply(remove_call(table_, call, now_));
    }

    void tick() {
        next_tick_ = now_ + milliseconds{100};
        std::set<std::string, std::less<>> long_kinds;
        for (const auto& it : kinds_) {
            if (is_long_kind(times_, it.name)) {
                long_kinds.insert(it.name);
            }
        }
        classify_calls(table_, long_kinds);
        long_before_ = count_long(); // calls reclassified as long after their start don't violate the cap
        table_.limits.slots = update_concurrency(limit_);
        update_level(meter_, static_cast<double>(table_.limits.slots), 0, now_);
        table_.limits.short_reserve = static_cast<std::size_t>(meter_.short_slots);
        apply(advance_queue(table_, now_));
    }

    std::size_t count_long() const {
        std::size_t n = 0;
        for (const auto* calls : {&table_.running, &table_.cancelling}) {
            n += static_cast<std::size_t>(std::count_if(calls->begin(), calls->end(),
                                                        [](const auto& it) { return it.second.is_long; }));
        }
        return n;
    }

    void check_state() {
        require(table_.limits.slots >= 1 && table_.limits.slots <= limit_.configured, "limit out of bounds");
        require(table_.running.size() + table_.cancelling.size() <= limit_.configured, "slots exceeded");
        require(table_.waiting.size() <=
                    table_.limits.queue + table_.cancelling.size() + 1 + limit_.configured,
                "queue exceeded");
        const auto long_running = count_long();
        bool short_waits = false;
        for (const auto& [order, it] : table_.waiting) {
            require(!can_start(table_, it), "a slot is free while an eligible call waits");
            short_waits = short_waits || !it.is_long;
        }
        // No long call starts above the cap while short calls wait.
        if (short_waits && long_running > long_before_) {
            require(long_running <= std::max<std::size_t>(table_.limits.slots / 2, 1),
                    "long kinds exceed their cap");
        }
        long_before_ = long_running;
    }

    std::mt19937_64 rng_;
    invariant_table invariants_;
    admission_table table_;
    concurrency_limit limit_;
    service_time_table times_;
    demand_meter meter_;
    std::vector<test_kind> kinds_;
    std::map<std::string, test_call> calls_;
    importance_level greatest_importance_ = 0;
    double mean_interarrival_ms_ = 1;
    time_point now_{std::chrono::seconds{1}};
    time_point next_tick_{std::chrono::milliseconds{1100}};
    std::size_t submitted_ = 0;
    std::size_t ended_ = 0;
    std::size_t long_before_ = 0;
};

} // namespace

TEST_CASE("admission keeps its guarantees under random schedules", "[schedules]") {
    // Guards against the refusal of a call while less important work could be shed, idle slots, lost calls
    // and long calls above their cap, under event orders that the other tests don't cover.
    const auto first = first_seed();
    constexpr int count = schedule_count;
    std::cout << "seed " << first << ", " << count << " schedules\n";
    for (int n = 0; n < count; ++n) {
        const auto seed = first + static_cast<std::uint64_t>(n);
        try {
            schedule{seed}.run();
        } catch (const std::exception& ex) {
            FAIL("BAOBABSWITCH_SEED=" << seed << ": " << ex.what());
        }
    }
}
