#include "scenario.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

namespace baobabswitch {

namespace {

constexpr double slow_factor = 5;         ///< service time factor of the target slowed in slow-target
constexpr double slow_service_factor = 4; ///< service time factor of the service slowed in slow-ledger
constexpr double crest_factor = 5;
constexpr double crest_rise_seconds = 3;
constexpr double normal_demand = 0.6;
constexpr double surge_demand = 3;
constexpr double stop_timeout_seconds = 10;
constexpr double drain_seconds = 6; ///< exceeds the longest timeout of a kind
/// Maximum utilization of the bottleneck service by the most important kind at the crest; the rest absorbs
/// random variation of its demand.
constexpr double top_kind_utilization = 0.8;
constexpr double max_base_demand = 0.4;

template <class Better>
std::string find_best_kind(const workload& load, Better better) {
    std::string best;
    for (const auto& [name, it] : load.kinds) {
        if (it.share > 0 && (best.empty() || better(it, load.kinds.at(best)))) {
            best = name;
        }
    }
    return best;
}

/// Adds the slot time that one call of a kind, including child calls, takes at each service.
void add_slot_ms(const workload& load, const std::string& kind, std::map<std::string, double>& slot_ms) {
    const auto& it = load.kinds.at(kind);
    slot_ms[it.service] += slot_time_ms(load, kind);
    for (const auto& child : it.children) {
        add_slot_ms(load, child, slot_ms);
    }
}

/// Returns the base demand at which the most important kind alone stays within top_kind_utilization after a
/// rise by crest_factor.
double crest_base_demand(const workload& load) {
    const auto top = most_important_kind(load);
    double shares = 0;
    for (const auto& [name, it] : load.kinds) {
        shares += it.share;
    }
    std::map<std::string, double> slot_ms;
    add_slot_ms(load, top, slot_ms);
    const double rate_at_one = capacity_per_second(load) * load.kinds.at(top).share / shares;
    double base = max_base_demand;
    for (const auto& [name, ms] : slot_ms) {
        const auto& service = load.services.at(name);
        const double capacity = 1000.0 * service.slots * service.servers / ms;
        base = std::min(base, top_kind_utilization * capacity / (rate_at_one * crest_factor));
    }
    return base;
}

/// Returns a phase action that sets the service time factor of the first max_targets targets of a service.
std::function<nlohmann::json(deployment&, double)> slowdown_action(const std::string& service, double factor,
                                                                   std::size_t max_targets) {
    return [=](deployment& it, double) {
        const auto vms = it.vms_of(service);
        for (std::size_t n = 0; n < std::min(vms.size(), max_targets); ++n) {
            it.control_target(vms.at(n), "{\"slowdown\": " + std::to_string(factor) + "}");
        }
        return nlohmann::json();
    };
}

/// Stops VMs one after another, the target first, and restarts each before the next one stops, until the time
/// is over.
nlohmann::json rolling_stop(deployment& it, double seconds) {
    const auto deadline = clock::now() + std::chrono::duration<double>(seconds);
    std::size_t stopped = 0;
    std::size_t clean_exits = 0;
    for (std::size_t vm = 0; vm < it.vms().size() && clock::now() < deadline; ++vm) {
        it.signal_target(vm, SIGTERM);
        const int target_status = it.wait_for_target(vm, stop_timeout_seconds);
        it.signal_node(vm, SIGTERM);
        const int node_status = it.wait_for_node(vm, stop_timeout_seconds);
        ++stopped;
        clean_exits += target_status == 0 && node_status == 0 ? 1 : 0;
        if (!it.restart_node(vm) || !it.restart_target(vm)) {
            break;
        }
        it.wait_until_up(vm, stop_timeout_seconds);
    }
    return {{"stopped", stopped}, {"clean_exits", clean_exits}};
}

/// Changes the document concurrently through several nodes. At the end every node must apply the newest
/// accepted version.
nlohmann::json change_config_concurrently(deployment& it, double seconds) {
    constexpr std::size_t operators = 4;
    constexpr double settle_seconds = 10;
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::uint64_t newest = 0;
    const auto deadline = clock::now() + std::chrono::duration<double>(seconds);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < operators; ++n) {
        threads.emplace_back([&, n] {
            for (int change = 0; clock::now() < deadline; ++change) {
                const auto vm = (n + static_cast<std::size_t>(change) * operators) % it.vms().size();
                const auto name = "operator-" + std::to_string(n);
                const auto [status, version] = it.change_config(vm, name, [&](nlohmann::json& document) {
                    document["policy"]["hedge_percent"] = 1 + change % 10;
                });
                const std::lock_guard lock{mutex};
                ++answers[std::to_string(status)];
                newest = std::max(newest, version);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto began = clock::now();
    bool in_force = false;
    while (!in_force && clock::now() - began < std::chrono::duration<double>(settle_seconds)) {
        in_force = true;
        for (std::size_t vm = 0; vm < it.vms().size(); ++vm) {
            in_force = in_force && it.config_version(vm) >= newest;
        }
    }
    const std::chrono::duration<double> took = clock::now() - began;
    return {{"answers", answers},
            {"newest_accepted", newest},
            {"in_force_everywhere", in_force},
            {"seconds_after_last_change", took.count()}};
}

/// Writes the initial document to the platform as the base version of later changes.
nlohmann::json apply_first_document(deployment& it, double) {
    const auto [status, version] = it.change_config(0, "operator", [](nlohmann::json&) {});
    return {{"first_document", status}, {"version", version}};
}

phase steady(std::string name, phase_role role, double seconds, double demand) {
    phase it;
    it.name = std::move(name);
    it.role = role;
    it.seconds = seconds;
    it.demand_from = it.demand_to = demand;
    return it;
}

std::vector<phase> slow_target_phases(const workload& load) {
    const auto service = load.kinds.at(most_frequent_kind(load)).service;
    auto slowed = steady("one slowed target", phase_role::slowed, 5, normal_demand);
    slowed.on_start = slowdown_action(service, slow_factor, 1);
    auto restored = steady("restored", phase_role::warm_up, 1, normal_demand);
    restored.on_start = slowdown_action(service, 1, 1);
    return {steady("warm-up", phase_role::warm_up, 1, normal_demand),
            steady("no slowed target", phase_role::reference, 4, normal_demand), slowed, restored};
}

std::vector<phase> short_behind_long_phases(const workload& load) {
    constexpr double weight_factor = 3; ///< high enough for the long kind alone to overload its service
    const auto slow = longest_kind(load);
    const auto service = load.kinds.at(slow).service;
    auto without = steady("without the long kind", phase_role::without_long, 4, normal_demand);
    for (const auto& [name, it] : load.kinds) {
        if (it.service == service) {
            without.weights[name] = weight_factor;
        }
    }
    auto with = without;
    with.name = "with the long kind";
    with.role = phase_role::with_long;
    with.seconds = 5;
    without.weights[slow] = 0;
    auto drain = steady("drain", phase_role::warm_up, 2, normal_demand / 2);
    drain.weights[slow] = 0;
    auto warm_up = without;
    warm_up.name = "warm-up";
    warm_up.role = phase_role::warm_up;
    warm_up.seconds = 1;
    return {warm_up, without, with, drain};
}

std::vector<phase> crest_phases(const workload& load) {
    const double base = crest_base_demand(load);
    auto rise = steady("rise", phase_role::crest, crest_rise_seconds, base);
    rise.demand_to = base * crest_factor;
    return {steady("before the crest", phase_role::warm_up, 2, base), rise,
            steady("crest", phase_role::crest, 3, base * crest_factor),
            steady("after the crest", phase_role::warm_up, 2, base)};
}

std::vector<phase> surge_phases(double before) {
    auto surge = steady("surge", phase_role::surge, 4, surge_demand);
    surge.retry_policy = aggressive_retries;
    return {steady("warm-up", phase_role::warm_up, 1, before),
            steady("before the surge", phase_role::reference, 3, before), surge,
            steady("after the surge", phase_role::after_surge, 8, before)};
}

std::vector<phase> slow_ledger_phases(const workload& load) {
    constexpr std::size_t all_targets = 1000;
    auto phases = surge_phases(normal_demand);
    phases.at(2).on_start = slowdown_action(load.slow_service, slow_service_factor, all_targets);
    phases.at(3).on_start = slowdown_action(load.slow_service, 1, all_targets);
    return phases;
}

std::vector<phase> rolling_stop_phases() {
    auto stops = steady("stops in turn", phase_role::disturbed, 20, 0.5);
    stops.on_start = rolling_stop;
    return {steady("before the stops", phase_role::reference, 3, 0.5), stops};
}

/// Returns a disturbance phase between a reference phase and a phase in which goodput must recover.
std::vector<phase> disturbance_phases(std::string name,
                                      std::function<nlohmann::json(deployment&, double)> begin,
                                      std::function<nlohmann::json(deployment&, double)> end) {
    constexpr double demand = 0.5;
    auto disturbed = steady(std::move(name), phase_role::surge, 6, demand);
    disturbed.on_start = std::move(begin);
    auto after = steady("healed", phase_role::after_surge, 8, demand);
    after.on_start = std::move(end);
    return {steady("warm-up", phase_role::warm_up, 1, demand),
            steady("before", phase_role::reference, 3, demand), disturbed, after};
}

std::vector<phase> domain_cut_phases(const workload& load) {
    const auto domain = load.domains.front();
    return disturbance_phases(
        "domain cut off",
        [domain](deployment& it, double) -> nlohmann::json {
            return it.set_faults(it.partition_rules(domain));
        },
        [](deployment& it, double) -> nlohmann::json { return it.set_faults(nlohmann::json::array()); });
}

std::vector<phase> platform_outage_phases() {
    return disturbance_phases(
        "platform silent",
        [](deployment& it, double) -> nlohmann::json {
            return it.control_platform(R"({"outage":"silent"})");
        },
        [](deployment& it, double) -> nlohmann::json { return it.control_platform(R"({"outage":"none"})"); });
}

std::vector<phase> config_race_phases() {
    auto first = steady("first document", phase_role::reference, 3, 0.5);
    first.on_start = apply_first_document;
    auto race = steady("operators racing", phase_role::disturbed, 6, 0.5);
    race.on_start = change_config_concurrently;
    return {first, race, steady("after the race", phase_role::warm_up, 3, 0.5)};
}

void append(std::vector<phase>& phases, std::vector<phase> more) {
    std::move(more.begin(), more.end(), std::back_inserter(phases));
}

/// Returns the phases of all measures. Without overload control a backlog outlasts its cause, so pauses of
/// `drain` seconds without demand separate the measures when policies are compared. They are omitted if drain
/// is 0.
std::vector<phase> all_phases(const workload& load, double drain) {
    std::vector<phase> phases;
    const auto pause = [&] {
        if (drain > 0) {
            phases.push_back(steady("drain", phase_role::warm_up, drain, 0));
        }
    };
    const auto level = [&](double demand) {
        phases.push_back(steady("onset", phase_role::warm_up, 1, demand));
        phases.push_back(steady("level", phase_role::level, 3, demand));
    };
    level(0.5);
    level(1);
    pause();
    append(phases, short_behind_long_phases(load));
    pause();
    append(phases, slow_target_phases(load));
    pause();
    append(phases, crest_phases(load));
    pause();
    for (const double demand : {2.0, 5.0}) {
        level(demand);
        phases.push_back(steady("settle", phase_role::warm_up, 2, drain > 0 ? 0 : 0.2));
        pause();
    }
    append(phases, surge_phases(normal_demand));
    return phases;
}

} // namespace

std::string longest_kind(const workload& load) {
    return find_best_kind(load, [](const auto& a, const auto& b) { return a.service_ms > b.service_ms; });
}

std::string most_important_kind(const workload& load) {
    return find_best_kind(load, [](const auto& a, const auto& b) { return a.importance > b.importance; });
}

std::string most_frequent_kind(const workload& load) {
    return find_best_kind(load, [](const auto& a, const auto& b) { return a.share > b.share; });
}

std::vector<scenario> make_scenarios(const workload& load, const scenario_options& options) {
    std::vector<scenario> list;
    list.push_back({"steady",
                    "one level of demand (--demand, --seconds)",
                    {steady("warm-up", phase_role::warm_up, 1, options.demand),
                     steady("steady", phase_role::level, options.seconds, options.demand)}});
    scenario levels{"levels", "0.5, 1, 2 and 5 times capacity one after the other", {}};
    for (const double demand : {0.5, 1.0, 2.0, 5.0}) {
        levels.phases.push_back(steady("settle", phase_role::warm_up, 2, std::min(demand, 0.3)));
        levels.phases.push_back(steady("onset", phase_role::warm_up, 1, demand));
        levels.phases.push_back(steady("level", phase_role::level, 5, demand));
    }
    list.push_back(levels);
    list.push_back({"crest", "demand times 5 within 3 s", crest_phases(load)});
    list.push_back(
        {"retry-storm", "a surge of 4 s with aggressive client retries", surge_phases(normal_demand)});
    list.push_back({"slow-ledger", "a deep service slows down during a surge with aggressive retries",
                    slow_ledger_phases(load)});
    list.push_back({"slow-target", "one target of the most frequent kind's service is 5 times slower",
                    slow_target_phases(load)});
    list.push_back({"short-behind-long", "short kinds without and with many calls of the long kind",
                    short_behind_long_phases(load)});
    list.push_back({"rolling-stop", "nodes and targets are stopped by SIGTERM in turn and started again",
                    rolling_stop_phases()});
    list.push_back({"domain-cut", "a failure domain is partitioned from the others and the platform for 6 s",
                    domain_cut_phases(load), true, true});
    list.push_back(
        {"platform-outage", "the platform gives no answer for 6 s", platform_outage_phases(), false, true});
    list.push_back({"config-race", "operators at four nodes change the document at the same time",
                    config_race_phases(), false, true});
    list.push_back({"all", "the phases of all five measures in one run", all_phases(load, 0)});
    list.push_back({"compare", "the same with pauses in which a backlog drains, for comparing policies",
                    all_phases(load, drain_seconds)});
    return list;
}

double total_seconds(const std::vector<phase>& phases) {
    double sum = 0;
    for (const auto& it : phases) {
        sum += it.seconds;
    }
    return sum;
}

const phase& phase_at(const std::vector<phase>& phases, double seconds) {
    for (const auto& it : phases) {
        if (seconds < it.seconds) {
            return it;
        }
        seconds -= it.seconds;
    }
    return phases.back();
}

double demand_at(const std::vector<phase>& phases, double seconds) {
    for (const auto& it : phases) {
        if (seconds < it.seconds) {
            return it.demand_from + (it.demand_to - it.demand_from) * seconds / it.seconds;
        }
        seconds -= it.seconds;
    }
    return phases.back().demand_to;
}

} // namespace baobabswitch
