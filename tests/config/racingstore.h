#pragma once

#include "memorystore.h"

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace baobabswitch {

/// How often calls of a racing store fail, in percent.
struct race_faults {
    unsigned unavailable = 0;
    unsigned answer_lost = 0; ///< the write took effect
    unsigned call_lost = 0;   ///< the write never takes effect, its outcome is unknown
    unsigned delayed = 0;     ///< the write takes effect, if its condition still holds, at a later call
};

/// A write of the configuration object that took effect.
struct effective_write {
    std::uint64_t version = 0;
    std::string write_id;
};

/// A memory store with seeded faults. Before and after a call it may run other operators, so that a single
/// thread explores interleavings that are reproducible from the seed.
class racing_store final : public object_store {
public:
    explicit racing_store(std::uint64_t seed);

    result<stored_object> get(std::string_view name) override;
    result<std::uint64_t> put(std::string_view name, std::string_view value,
                              std::uint64_t if_version) override;
    result<void> remove(std::string_view name, std::uint64_t if_version) override;
    result<object_list> list(std::string_view prefix) override;
    result<object_list> watch(std::string_view prefix, std::uint64_t after, milliseconds wait) override;

    /// Applies all delayed writes.
    void deliver_all();

    race_faults faults;
    std::function<void()> run_other_operators;
    /// Writes of the configuration object that took effect, in order; includes those whose answer was lost.
    std::vector<effective_write> history;
    memory_store inner;
    std::mt19937_64 rng;

private:
    struct delayed_write {
        std::string name;
        std::string value;
        std::uint64_t if_version = 0;
    };

    bool random_chance(unsigned percent);
    void before_call();
    void after_call();
    result<std::uint64_t> apply_write(std::string_view name, std::string_view value,
                                      std::uint64_t if_version);

    std::deque<delayed_write> delayed_;
};

} // namespace baobabswitch
