#include "configstore.h"
#include "racingstore.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

using namespace baobabswitch;

namespace {

constexpr std::uint64_t schedules = 2000;
constexpr int max_depth = 2; ///< operators that may run nested within another's call
constexpr int resolve_rounds = 20;

nlohmann::json make_document(std::uint64_t n) {
    return {
        {"schema", 1},
        {"services", {{"s", {{"slots", 1}, {"connections", 1}, {"queue", n % 1000}}}}},
        {"kinds", {{"k", {{"service", "s"}, {"importance", 1}, {"timeout_ms", 5}, {"idempotent", true}}}}}};
}

/// Returns the value of a configuration object whose `recent` holds this many changes.
std::string prefilled(std::size_t changes) {
    static std::map<std::size_t, std::string> cache;
    auto& value = cache[changes];
    if (value.empty()) {
        memory_store store;
        for (std::size_t n = 0; n < changes; ++n) {
            config_change change{make_document(n), "setup", "fill", "t", "fill-" + std::to_string(n), n};
            REQUIRE(apply_change(store, change));
        }
        value = store.get(config_object_name).value().value;
    }
    return value;
}

/// One change and the result that its operator got.
struct attempt {
    config_change change;
    std::optional<result<audit_entry>> reported; ///< empty while the outcome is unknown
    bool running = false;
};

/// One schedule: operators that read, change and apply, and sometimes repeat a change of unknown outcome.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : store_(seed) {
        const auto draw = [this](unsigned most) {
            return std::uniform_int_distribution<unsigned>{0, most}(store_.rng);
        };
        if (draw(3) == 0) {
            const auto value = prefilled(max_recent_entries - draw(6));
            REQUIRE(store_.inner.put(config_object_name, value, 0));
            const auto stored = parse_stored_config(value, 1);
            for (const auto& it : stored.value().recent) {
                store_.history.push_back({it.version, it.write_id});
            }
        }
        store_.faults = {draw(30), draw(30), draw(20), draw(20)};
        store_.run_other_operators = [this] {
            if (depth_ < max_depth) {
                act();
            }
        };
        const auto steps = 2 + draw(12);
        for (unsigned n = 0; n < steps; ++n) {
            act();
        }
        resolve_all();
    }

    /// Returns a description of the first violation, or an empty string.
    std::string check_history() {
        std::map<std::string, std::uint64_t> effective;
        std::uint64_t last = 0;
        for (const auto& it : store_.history) {
            if (it.version <= last) {
                return "version " + std::to_string(it.version) + " follows " + std::to_string(last);
            }
            last = it.version;
            if (!effective.emplace(it.write_id, it.version).second) {
                return it.write_id + " took effect twice";
            }
        }
        for (const auto& it : attempts_) {
            const auto found = effective.find(it.change.write_id);
            if (!it.reported) {
                return it.change.write_id + " is still unknown although the platform is readable";
            }
            if (*it.reported && (found == effective.end() || found->second != it.reported->value().version)) {
                return it.change.write_id + " was reported accepted and did not take effect";
            }
            if (!*it.reported && found != effective.end()) {
                return it.change.write_id + " was reported failed (" + describe(it.reported->error()) +
                       ") and took effect";
            }
        }
        return check_audit();
    }

    std::size_t accepted() const {
        return store_.history.size();
    }
    std::size_t unknown() const {
        return unknown_;
    }
    std::size_t moved_blocks() {
        return store_.inner.list(audit_prefix).value().objects.size();
    }

private:
    std::string check_audit() {
        const auto trail = read_audit(store_.inner, SIZE_MAX);
        if (!trail && trail.error().kind != error_kind::not_found) {
            return describe(trail.error());
        }
        if (trail.value().size() != store_.history.size()) {
            return "the audit trail has " + std::to_string(trail.value().size()) + " entries for " +
                   std::to_string(store_.history.size()) + " changes";
        }
        auto expected = store_.history.rbegin();
        for (const auto& it : trail.value()) {
            if (it.version != expected->version || it.write_id != expected->write_id) {
                return "version " + std::to_string(expected->version) + " is not in the audit trail";
            }
            ++expected;
        }
        std::set<std::uint64_t> moved;
        const auto objects = store_.inner.list(audit_prefix);
        for (const auto& object : objects.value().objects) {
            const auto block = nlohmann::json::parse(store_.inner.get(object.name).value().value);
            for (const auto& it : block) {
                if (!moved.insert(it["version"].get<std::uint64_t>()).second) {
                    return "two audit objects hold the same change";
                }
            }
        }
        return "";
    }

    void act() {
        ++depth_;
        if (!attempts_.empty() && std::uniform_int_distribution<int>{0, 3}(store_.rng) == 0) {
            const auto n = std::uniform_int_distribution<std::size_t>{0, attempts_.size() - 1}(store_.rng);
            if (!attempts_.at(n).reported && !attempts_.at(n).running) {
                apply(n);
            }
        } else {
            start_change();
        }
        --depth_;
    }

    void start_change() {
        const auto base = read_config(store_);
        if (!base && base.error().kind != error_kind::not_found) {
            return;
        }
        const auto n = attempts_.size();
        attempts_.push_back({{make_document(n), "operator", "race", "t", "write-" + std::to_string(n),
                              base ? base.value().change.version : 0},
                             std::nullopt});
        apply(n);
    }

    void apply(std::size_t n) {
        // Operators nested within the call may reallocate attempts_.
        auto change = attempts_.at(n).change;
        attempts_.at(n).running = true;
        const auto reported = apply_change(store_, change);
        auto& it = attempts_.at(n);
        it.running = false;
        it.change.may_be_written = change.may_be_written;
        if (!reported && reported.error().kind == error_kind::outcome_unknown) {
            ++unknown_;
            return;
        }
        it.reported = reported;
    }

    /// Ends the faults and repeats the changes of unknown outcome; delayed writes may still arrive meanwhile.
    void resolve_all() {
        store_.faults = {};
        store_.run_other_operators = nullptr;
        for (int round = 0; round < resolve_rounds; ++round) {
            for (std::size_t n = 0; n < attempts_.size(); ++n) {
                if (!attempts_.at(n).reported) {
                    apply(n);
                }
            }
        }
        store_.deliver_all();
    }

    racing_store store_;
    std::vector<attempt> attempts_;
    std::size_t unknown_ = 0;
    int depth_ = 0;
};

} // namespace

// Guards against lost, doubled or reverted changes of the configuration and against wrong reports to
// operators when several race and the platform fails in any combination.
TEST_CASE("racing operators get correct results and every accepted change is audited once", "[config]") {
    const auto first = first_seed();
    std::cout << "config race: BAOBABSWITCH_SEED=" << first << ", " << schedules << " schedules\n";
    std::size_t accepted = 0;
    std::size_t unknown = 0;
    std::size_t moved = 0;
    for (std::uint64_t n = 0; n < schedules; ++n) {
        schedule it{first + n};
        const auto wrong = it.check_history();
        INFO("BAOBABSWITCH_SEED=" << first + n);
        REQUIRE(wrong == "");
        accepted += it.accepted();
        unknown += it.unknown();
        moved += it.moved_blocks();
    }
    std::cout << "config race: " << accepted << " accepted changes, " << unknown << " unknown outcomes, "
              << moved << " audit objects\n";
    CHECK(unknown > schedules / 10);
    CHECK(moved > schedules / 20);
}
