#include "racingstore.h"

#include "configstore.h"

namespace baobabswitch {

namespace {

constexpr unsigned interleave_percent = 25;
constexpr unsigned arrival_percent = 30;

error unavailable() {
    return {error_kind::store_unavailable, "the platform is not available", "try again"};
}

error unknown() {
    return {error_kind::outcome_unknown, "the platform did not answer", "read the object back"};
}

} // namespace

racing_store::racing_store(std::uint64_t seed) : rng(seed) {}

result<stored_object> racing_store::get(std::string_view name) {
    before_call();
    if (random_chance(faults.unavailable)) {
        return unavailable();
    }
    auto read = inner.get(name);
    after_call();
    return read;
}

result<std::uint64_t> racing_store::put(std::string_view name, std::string_view value,
                                        std::uint64_t if_version) {
    before_call();
    if (random_chance(faults.unavailable)) {
        return unavailable();
    }
    if (random_chance(faults.call_lost)) {
        return unknown();
    }
    if (random_chance(faults.delayed)) {
        delayed_.push_back({std::string{name}, std::string{value}, if_version});
        after_call();
        return unknown();
    }
    auto written = apply_write(name, value, if_version);
    const bool lost = random_chance(faults.answer_lost);
    after_call();
    if (lost) {
        return unknown();
    }
    return written;
}

result<void> racing_store::remove(std::string_view name, std::uint64_t if_version) {
    return inner.remove(name, if_version);
}

result<object_list> racing_store::list(std::string_view prefix) {
    before_call();
    if (random_chance(faults.unavailable)) {
        return unavailable();
    }
    auto found = inner.list(prefix);
    after_call();
    return found;
}

result<object_list> racing_store::watch(std::string_view prefix, std::uint64_t after, milliseconds wait) {
    return inner.watch(prefix, after, wait);
}

void racing_store::deliver_all() {
    while (!delayed_.empty()) {
        const auto it = std::move(delayed_.front());
        delayed_.pop_front();
        (void)apply_write(it.name, it.value, it.if_version);
    }
}

bool racing_store::random_chance(unsigned percent) {
    return std::uniform_int_distribution<unsigned>{0, 99}(rng) < percent;
}

void racing_store::before_call() {
    if (!delayed_.empty() && random_chance(arrival_percent)) {
        const auto it = std::move(delayed_.front());
        delayed_.pop_front();
        (void)apply_write(it.name, it.value, it.if_version);
    }
    if (run_other_operators && random_chance(interleave_percent)) {
        run_other_operators();
    }
}

void racing_store::after_call() {
    if (run_other_operators && random_chance(interleave_percent)) {
        run_other_operators();
    }
}

result<std::uint64_t> racing_store::apply_write(std::string_view name, std::string_view value,
                                                std::uint64_t if_version) {
    auto written = inner.put(name, value, if_version);
    if (written && name == config_object_name) {
        const auto stored = nlohmann::json::parse(value);
        history.push_back({stored["version"].get<std::uint64_t>(), stored["write_id"].get<std::string>()});
    }
    return written;
}

} // namespace baobabswitch
