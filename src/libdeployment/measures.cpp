#include "measures.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr double ms_per_second = 1000;
constexpr double recovery_step = 0.25;  ///< seconds
constexpr double recovery_window = 2;   ///< seconds
constexpr double recovery_share = 0.95; ///< minimum fraction of the share served before the surge
constexpr double detection_seconds = 2; ///< time for the nodes to detect a slowed target

struct time_span {
    double from = 0;
    double to = 0;
};

/// Returns the time span of the first phase with the role, extended by directly following phases with the
/// same role.
std::optional<time_span> find_span(const scenario& plan, phase_role role) {
    std::optional<time_span> found;
    double at = 0;
    for (const auto& it : plan.phases) {
        if (it.role == role && !found) {
            found = time_span{at, at};
        }
        if (found && it.role == role && found->to == at) {
            found->to = at + it.seconds;
        }
        at += it.seconds;
    }
    return found;
}

/// Returns the time span of the last reference phase that begins before a time.
time_span reference_before(const scenario& plan, double time) {
    double at = 0;
    time_span found;
    for (const auto& it : plan.phases) {
        if (at < time && it.role == phase_role::reference) {
            found = {at, at + it.seconds};
        }
        at += it.seconds;
    }
    return found;
}

bool within(const request_sample& sample, const time_span& time) {
    return sample.at >= time.from && sample.at < time.to;
}

struct goodput {
    std::size_t planned = 0;
    std::size_t served = 0;
    double share() const {
        return planned == 0 ? 0 : static_cast<double>(served) / static_cast<double>(planned);
    }
};

goodput count_served(const std::vector<request_sample>& samples, const workload& load,
                     const time_span& time) {
    goodput sum;
    for (const auto& it : samples) {
        if (within(it, time)) {
            ++sum.planned;
            sum.served += is_served(it, load) ? 1 : 0;
        }
    }
    return sum;
}

double rounded(double value) {
    constexpr double precision = 1000;
    return std::round(value * precision) / precision;
}

/// Returns the 99th percentile of the latency of a kind's done requests, in milliseconds. Requests that were
/// not done are counted separately, because the percentile doesn't reflect them.
json tail_latency(const std::vector<request_sample>& samples, const std::string& kind,
                  const time_span& time) {
    std::vector<double> values;
    std::size_t not_done = 0;
    for (const auto& it : samples) {
        if (it.kind == kind && within(it, time)) {
            if (it.outcome == "done") {
                values.push_back(it.seconds * ms_per_second);
            } else {
                ++not_done;
            }
        }
    }
    return {{"p99_ms", rounded(percentile(values, 0.99))}, {"done", values.size()}, {"not_done", not_done}};
}

json compare_tail_latencies(const std::vector<request_sample>& samples, const std::vector<std::string>& kinds,
                            const time_span& without, const time_span& with) {
    json table;
    for (const auto& it : kinds) {
        const auto before = tail_latency(samples, it, without);
        const auto after = tail_latency(samples, it, with);
        const double base = before["p99_ms"];
        table[it] = {{"without", before},
                     {"with", after},
                     {"ratio", base > 0 ? json(rounded(after["p99_ms"].get<double>() / base)) : json()}};
    }
    return table;
}

json measure_goodput(const std::vector<request_sample>& samples, const scenario& plan, const workload& load) {
    json levels = json::array();
    const double capacity = capacity_per_second(load);
    double at_capacity = 0;
    double at = 0;
    for (const auto& it : plan.phases) {
        if (it.role == phase_role::level) {
            const auto sum = count_served(samples, load, {at, at + it.seconds});
            const double rate = static_cast<double>(sum.served) / it.seconds;
            json level{{"demand", it.demand_to},
                       {"planned_per_second", rounded(static_cast<double>(sum.planned) / it.seconds)},
                       {"goodput_per_second", rounded(rate)},
                       {"share_of_capacity", rounded(rate / capacity)}};
            at_capacity = it.demand_to == 1 ? rate : at_capacity;
            if (at_capacity > 0) {
                level["share_of_goodput_at_capacity"] = rounded(rate / at_capacity);
            }
            levels.push_back(std::move(level));
        }
        at += it.seconds;
    }
    return levels.empty() ? json()
                          : json{{"levels", levels}, {"target", "0.95 of goodput at capacity, at 2"}};
}

json measure_recovery(const std::vector<request_sample>& samples, const scenario& plan,
                      const workload& load) {
    const auto surge = find_span(plan, phase_role::surge);
    const auto after = find_span(plan, phase_role::after_surge);
    if (!surge || !after) {
        return {};
    }
    const auto reference = count_served(samples, load, reference_before(plan, surge->from)).share();
    const double seconds = recovery_seconds(samples, load, reference, surge->to, after->to);
    return {{"seconds", seconds < 0 ? json() : json(seconds)},
            {"recovered", seconds >= 0},
            {"share_before", rounded(reference)},
            {"share_during_surge", rounded(count_served(samples, load, *surge).share())},
            {"share_after", rounded(count_served(samples, load, *after).share())},
            {"target_seconds", 5}};
}

json measure_crest(const std::vector<request_sample>& samples, const scenario& plan, const workload& load) {
    const auto crest = find_span(plan, phase_role::crest);
    if (!crest) {
        return {};
    }
    const auto top = most_important_kind(load);
    std::size_t planned = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refusals = 0;
    std::size_t promised = 0;
    for (const auto& it : samples) {
        if (it.kind == top && within(it, *crest)) {
            ++planned;
            served += is_served(it, load) ? 1 : 0;
            refused += it.outcome == "not-run" ? 1 : 0;
            promised += it.outcome == "promised" ? 1 : 0;
            refusals += it.refusals;
        }
    }
    return {{"kind", top},
            {"planned", planned},
            {"served", served},
            {"refused", refused},
            {"refused_attempts", refusals},
            {"promised", promised},
            {"other", planned - served - refused - promised},
            {"served_share_of_all_kinds", rounded(count_served(samples, load, *crest).share())},
            {"target_refused", 0}};
}

json measure_short_behind_long(const std::vector<request_sample>& samples, const scenario& plan,
                               const workload& load) {
    const auto without = find_span(plan, phase_role::without_long);
    const auto with = find_span(plan, phase_role::with_long);
    if (!without || !with) {
        return {};
    }
    const auto slow = longest_kind(load);
    std::vector<std::string> kinds;
    for (const auto& [name, it] : load.kinds) {
        if (name != slow && it.share > 0 && it.service == load.kinds.at(slow).service) {
            kinds.push_back(name);
        }
    }
    auto table = compare_tail_latencies(samples, kinds, *without, *with);
    json worst;
    for (const auto& it : table) {
        if (it["ratio"].is_number() && (worst.is_null() || it["ratio"] > worst)) {
            worst = it["ratio"];
        }
    }
    return {{"long_kind", slow}, {"kinds", table}, {"ratio", worst}, {"target_ratio", 1.5}};
}

json measure_slow_target(const std::vector<request_sample>& samples, const scenario& plan,
                         const workload& load) {
    const auto with = find_span(plan, phase_role::slowed);
    if (!with) {
        return {};
    }
    const auto without = reference_before(plan, with->from);
    const auto kind = most_frequent_kind(load);
    std::vector<std::string> kinds;
    for (const auto& [name, it] : load.kinds) {
        if (it.share > 0 && it.service == load.kinds.at(kind).service) {
            kinds.push_back(name);
        }
    }
    const auto table = compare_tail_latencies(samples, kinds, without, *with);
    const auto settled =
        compare_tail_latencies(samples, {kind}, without, {with->from + detection_seconds, with->to});
    return {{"kind", kind},
            {"kinds", table},
            {"ratio", table[kind]["ratio"]},
            {"ratio_after_2_s", settled[kind]["ratio"]},
            {"target_ratio", 1.5}};
}

} // namespace

bool is_served(const request_sample& sample, const workload& load) {
    return sample.outcome == "done" &&
           sample.seconds * ms_per_second <= load.kinds.at(sample.kind).timeout_ms;
}

double percentile(std::vector<double>& values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto n = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values.at(std::min(n, values.size() - 1));
}

double recovery_seconds(const std::vector<request_sample>& samples, const workload& load,
                        double reference_share, double surge_end, double end) {
    double recovered = -1;
    for (double from = surge_end; from + recovery_window <= end; from += recovery_step) {
        const auto share = count_served(samples, load, {from, from + recovery_window}).share();
        if (share < recovery_share * reference_share) {
            recovered = -1;
        } else if (recovered < 0) {
            recovered = from - surge_end;
        }
    }
    return recovered;
}

json count_kinds(const std::vector<request_sample>& samples, const workload& load) {
    json table;
    std::map<std::string, std::vector<double>> latencies;
    for (const auto& it : samples) {
        auto& kind = table[it.kind];
        if (kind.is_null()) {
            kind = {{"requests", 0},
                    {"attempts", 0},
                    {"good", 0},
                    {"outcomes", json::object()},
                    {"causes", json::object()}};
        }
        kind["requests"] = kind["requests"].get<std::size_t>() + 1;
        kind["attempts"] = kind["attempts"].get<std::size_t>() + it.attempts;
        kind["good"] = kind["good"].get<std::size_t>() + (is_served(it, load) ? 1 : 0);
        kind["outcomes"][it.outcome] = kind["outcomes"].value(it.outcome, std::size_t{0}) + 1;
        if (!it.cause.empty()) {
            kind["causes"][it.cause] = kind["causes"].value(it.cause, std::size_t{0}) + 1;
        }
        if (it.outcome == "done") {
            latencies[it.kind].push_back(it.seconds * ms_per_second);
        }
    }
    for (auto& [kind, values] : latencies) {
        table[kind]["p50_ms"] = rounded(percentile(values, 0.5));
        table[kind]["p99_ms"] = rounded(percentile(values, 0.99));
    }
    return table;
}

json describe_phases(const std::vector<request_sample>& samples, const scenario& plan, const workload& load) {
    json list = json::array();
    double at = 0;
    for (const auto& it : plan.phases) {
        const auto sum = count_served(samples, load, {at, at + it.seconds});
        list.push_back({{"name", it.name},
                        {"from", at},
                        {"seconds", it.seconds},
                        {"demand", it.demand_to},
                        {"planned_per_second", rounded(static_cast<double>(sum.planned) / it.seconds)},
                        {"goodput_per_second", rounded(static_cast<double>(sum.served) / it.seconds)},
                        {"served_share", rounded(sum.share())}});
        at += it.seconds;
    }
    return list;
}

json measure(const std::vector<request_sample>& samples, const scenario& plan, const workload& load) {
    return {{"goodput", measure_goodput(samples, plan, load)},
            {"recovery", measure_recovery(samples, plan, load)},
            {"crest", measure_crest(samples, plan, load)},
            {"short_behind_long", measure_short_behind_long(samples, plan, load)},
            {"slow_target", measure_slow_target(samples, plan, load)}};
}

} // namespace baobabswitch
