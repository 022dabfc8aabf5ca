#include "rollout.h"

#include "jsontext.h"

#include <algorithm>

namespace baobabswitch {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr std::string_view status_object_prefix = "status/";
/// Latest time that system_clock can represent is in 2262; times of a status end before it.
constexpr std::uint64_t max_time_ms = 9'000'000'000'000;

const json* member(const json& object, const char* name) {
    const auto it = object.find(name);
    return it == object.end() ? nullptr : &*it;
}

} // namespace

std::string_view rollout_phase_name(rollout_phase phase) {
    switch (phase) {
    case rollout_phase::in_force:
        return "in force";
    case rollout_phase::pending:
        return "pending";
    case rollout_phase::cut_off:
        return "cut off";
    }
    return "pending";
}

result<domain_rollout> evaluate_domain_status(std::string_view value, std::uint64_t accepted_version,
                                              system_clock::time_point now) {
    const auto object = parse_json_or_discard(value);
    const auto* domain = member(object, "domain");
    const auto* least = member(object, "least_version");
    const auto* greatest = member(object, "greatest_version");
    const auto* time = member(object, "time");
    const auto* members = member(object, "members");
    const bool complete = domain != nullptr && domain->is_string() && least != nullptr &&
                          least->is_number_unsigned() && greatest != nullptr &&
                          greatest->is_number_unsigned() && time != nullptr && time->is_number_unsigned() &&
                          time->get<std::uint64_t>() <= max_time_ms && members != nullptr &&
                          members->is_array();
    if (!complete) {
        return error{error_kind::malformed, "a domain's status in the platform is malformed",
                     "check that all nodes run the same version"};
    }
    domain_rollout it;
    it.domain = domain->get<std::string>();
    it.least_version = least->get<std::uint64_t>();
    it.greatest_version = greatest->get<std::uint64_t>();
    const system_clock::time_point written{milliseconds{time->get<std::int64_t>()}};
    it.last_status = utc_time(written);
    for (const auto& entry : *members) {
        const auto* state = member(entry, "state");
        ++it.members;
        if (state != nullptr && state->is_string()) {
            ++it.targets[state->get<std::string>()];
        }
    }
    if (now - written > status_stale_after) {
        it.phase = rollout_phase::cut_off;
    } else if (accepted_version > 0 && it.least_version >= accepted_version) {
        it.phase = rollout_phase::in_force;
    }
    return it;
}

result<rollout> read_rollout(object_store& store, system_clock::time_point now) {
    rollout state;
    const auto stored = read_config(store);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return stored.error();
    }
    if (stored) {
        state.accepted = stored.value().change;
    }
    const auto listed = store.list(status_object_prefix);
    if (!listed) {
        return listed.error();
    }
    for (const auto& object : listed.value().objects) {
        const auto status = store.get(object.name);
        if (!status && status.error().kind == error_kind::not_found) {
            continue;
        }
        if (!status) {
            return status.error();
        }
        auto evaluated = evaluate_domain_status(status.value().value, state.accepted.version, now);
        if (!evaluated) {
            return evaluated.error();
        }
        state.domains.push_back(std::move(evaluated.value()));
    }
    return state;
}

bool in_force_where_reachable(const rollout& state, std::uint64_t version) {
    return std::all_of(state.domains.begin(), state.domains.end(), [&](const auto& it) {
        return it.phase == rollout_phase::cut_off || it.least_version >= version;
    });
}

json to_json(const rollout& state) {
    auto domains = json::array();
    for (const auto& it : state.domains) {
        json entry{{"domain", it.domain},
                   {"phase", rollout_phase_name(it.phase)},
                   {"least_version", it.least_version},
                   {"greatest_version", it.greatest_version},
                   {"last_status", it.last_status},
                   {"members", it.members},
                   {"targets", it.targets}};
        if (it.phase == rollout_phase::cut_off) {
            entry["cut_off_since"] = it.last_status;
        }
        domains.push_back(std::move(entry));
    }
    return {{"accepted", state.accepted.version == 0 ? json{} : to_json(state.accepted)},
            {"domains", std::move(domains)}};
}

} // namespace baobabswitch
