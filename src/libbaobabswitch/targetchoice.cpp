#include "targetchoice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

constexpr double latency_weight = 0.3;    ///< smoothing factor of a target's relative latency
constexpr double kind_weight = 0.02;      ///< smoothing factor of a kind's mean latency
constexpr double default_latency_ms = 50; ///< latency scale for weighing load against reported waits
constexpr std::uint64_t min_samples = 5;
constexpr std::size_t subset_size = 20;
constexpr milliseconds wait_report_lifetime{500};
constexpr std::chrono::seconds latency_decay_delay{2};
constexpr std::chrono::seconds latency_decay_time{5};
constexpr std::chrono::seconds ramp_time{10};
constexpr double min_ramp_share = 0.1;
constexpr double ejection_latency_factor = 3; ///< multiple of the median of the peers
constexpr unsigned ejection_failure_count = 5;
constexpr std::size_t targets_per_ejection = 3; ///< one ejection is allowed per this many targets
/// Duration of the first ejection. While a target stays slow, each probe is a slow call; with 10 s between
/// probes, these are less than 1 in 100 calls.
constexpr std::chrono::seconds first_ejection{10};
constexpr std::chrono::seconds longest_ejection{60};

std::vector<target_stats*> find_candidates(target_table& table, std::string_view service,
                                           std::span<const std::string> tried) {
    std::vector<target_stats*> found;
    const auto subset = table.subsets.find(service);
    if (subset == table.subsets.end()) {
        return found;
    }
    for (const auto& node : subset->second) {
        const auto it = table.targets.find(node);
        if (it != table.targets.end() && it->second.available &&
            std::find(tried.begin(), tried.end(), node) == tried.end()) {
            found.push_back(&it->second);
        }
    }
    return found;
}

/// Returns the share of its regular load that a target gets during slow start.
double ramp_share(const target_stats& it, time_point now) {
    const double share = std::chrono::duration<double>(now - it.ramp_start) / ramp_time;
    return std::clamp(share, min_ramp_share, 1.0);
}

/// Returns the relative latency, decayed towards 1 while there are no new samples. Without the decay, a
/// target measured as slow would get no calls, and its recovery would never be detected.
double decayed_relative_latency(const target_stats& it, time_point now) {
    const auto age = std::chrono::duration<double>(now - it.last_sample) - latency_decay_delay;
    return age.count() <= 0 ? it.relative_latency
                            : 1 + (it.relative_latency - 1) * std::exp(-(age / latency_decay_time));
}

double expected_wait(const target_stats& it, time_point now) {
    const double load = (it.outstanding + 1) / static_cast<double>(std::max<std::size_t>(it.slots, 1));
    const double reported = now - it.wait_reported < wait_report_lifetime ? it.wait_ms : 0;
    return ((1 + load) * decayed_relative_latency(it, now) * default_latency_ms + reported) /
           ramp_share(it, now);
}

std::uint64_t rendezvous_score(std::string_view node, std::string_view target) {
    return XXH64(target.data(), target.size(), XXH64(node.data(), node.size(), 0));
}

/// Selects the subset of targets that this node uses. Targets of its own failure domain come first; within a
/// domain, rendezvous hashing spreads the nodes over the targets and changes few subsets when a target joins
/// or leaves. Half of the subset is taken from other domains, so that targets remain if a domain is lost.
void update_subsets(target_table& table) {
    table.subsets.clear();
    for (const auto& [node, it] : table.targets) {
        if (it.available) {
            table.subsets[it.service].push_back(node);
        }
    }
    for (auto& [service, nodes] : table.subsets) {
        if (nodes.size() <= subset_size) {
            continue;
        }
        std::sort(nodes.begin(), nodes.end(), [&](const auto& a, const auto& b) {
            return rendezvous_score(table.node, a) > rendezvous_score(table.node, b);
        });
        const auto first_other = std::stable_partition(nodes.begin(), nodes.end(), [&](const auto& it) {
            return table.targets.find(it)->second.domain == table.domain;
        });
        const auto own = static_cast<std::size_t>(first_other - nodes.begin());
        const auto others = std::min(nodes.size() - own, subset_size / 2);
        const auto kept = std::min(own, subset_size - others);
        nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(kept), first_other);
        nodes.resize(std::min(nodes.size(), subset_size));
    }
}

void eject(target_stats& it, time_point now) {
    const auto time =
        std::min<duration>(first_ejection * (1U << std::min(it.ejections, 4U)), longest_ejection);
    it.ejected = true;
    it.probing = false;
    it.ejected_until = now + time;
    ++it.ejections;
}

/// Ends an ejection and starts a slow start.
void readmit(target_stats& it, time_point now) {
    it.ejected = false;
    it.probing = false;
    it.failures_in_row = 0;
    it.samples = 0;
    it.relative_latency = 1;
    it.ramp_start = now;
}

double median_relative_latency(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void update_targets(target_table& table, const member_table& members, time_point now) {
    if (!table.started) {
        table.started = now;
    }
    // Targets discovered while this node is starting are not new and need no slow start.
    const bool starting = now - *table.started < ramp_time;
    for (const auto& [node, it] : members) {
        if (it.service.empty()) {
            continue;
        }
        auto [found, inserted] = table.targets.try_emplace(node);
        auto& stats = found->second;
        if (inserted || stats.incarnation != it.incarnation) {
            stats = {};
            stats.ramp_start = starting ? now - ramp_time : now;
        }
        stats.node = node;
        stats.incarnation = it.incarnation;
        stats.service = it.service;
        stats.domain = it.domain;
        stats.address = it.address;
        stats.slots = it.slots;
        stats.available = it.state == target_state::up;
    }
    update_subsets(table);
}

std::optional<std::string> choose_target(target_table& table, std::string_view service,
                                         std::span<const std::string> tried, random_engine& rng,
                                         time_point now) {
    auto found = find_candidates(table, service, tried);
    const auto due = std::find_if(found.begin(), found.end(), [&](const auto* it) {
        return it->ejected && !it->probing && now >= it->ejected_until;
    });
    if (due != found.end()) {
        (*due)->probing = true;
        return (*due)->node;
    }
    std::erase_if(found, [](const auto* it) { return it->ejected; });
    if (found.empty()) {
        // Falls back to ejected targets if there are no others.
        found = find_candidates(table, service, tried);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const auto pick = std::uniform_int_distribution<std::size_t>{0, found.size() - 1}(rng);
    auto other = pick;
    if (found.size() > 1) {
        other = std::uniform_int_distribution<std::size_t>{0, found.size() - 2}(rng);
        other += other >= pick ? 1 : 0;
    }
    const auto* a = found.at(pick);
    const auto* b = found.at(other);
    return expected_wait(*a, now) <= expected_wait(*b, now) ? a->node : b->node;
}

std::optional<std::string> choose_round_robin(target_table& table, std::string_view service,
                                              std::span<const std::string> tried) {
    auto found = find_candidates(table, service, tried);
    if (found.empty()) {
        found = find_candidates(table, service, {});
    }
    if (found.empty()) {
        return std::nullopt;
    }
    return found.at(table.round_robin[std::string{service}]++ % found.size())->node;
}

void record_call_sent(target_table& table, std::string_view node) {
    if (const auto it = table.targets.find(node); it != table.targets.end()) {
        ++it->second.outstanding;
    }
}

void record_call_ended(target_table& table, std::string_view node, const call_result& ended, time_point now) {
    const auto found = table.targets.find(node);
    if (found == table.targets.end()) {
        return;
    }
    auto& it = found->second;
    it.outstanding -= std::min(it.outstanding, 1U);
    if (!ended.failed) {
        it.wait_ms = static_cast<double>(ended.wait.count());
        it.wait_reported = now;
    }
    double ratio = 1;
    if (ended.latency) {
        const double ms = std::chrono::duration<double, std::milli>(*ended.latency).count();
        auto& usual = table.kinds[std::string{ended.kind}];
        ++usual.samples;
        usual.mean_ms +=
            std::max(kind_weight, 1.0 / static_cast<double>(usual.samples)) * (ms - usual.mean_ms);
        ratio = ms / std::max(usual.mean_ms, 1.0);
        it.relative_latency = decayed_relative_latency(it, now);
        it.relative_latency += latency_weight * (ratio - it.relative_latency);
        it.last_sample = now;
        ++it.samples;
    }
    it.failures_in_row = ended.failed ? it.failures_in_row + 1 : 0;
    if (it.probing) {
        if (ended.failed || ratio > ejection_latency_factor) {
            eject(it, now);
        } else {
            readmit(it, now);
        }
    }
}

void update_ejections(target_table& table, time_point now) {
    std::map<std::string_view, std::vector<target_stats*>> services;
    for (auto& [node, it] : table.targets) {
        if (it.available) {
            services[it.service].push_back(&it);
        }
    }
    for (auto& [service, list] : services) {
        std::vector<double> values;
        std::size_t ejected = 0;
        for (const auto* it : list) {
            ejected += it->ejected ? 1 : 0;
            if (!it->ejected && it->samples >= min_samples) {
                values.push_back(it->relative_latency);
            }
        }
        const double median = values.size() < 2 ? 0 : median_relative_latency(values);
        std::sort(list.begin(), list.end(),
                  [](const auto* a, const auto* b) { return a->relative_latency > b->relative_latency; });
        for (auto* it : list) {
            const bool slow = median > 0 && it->samples >= min_samples &&
                              it->relative_latency > ejection_latency_factor * median;
            if (!it->ejected && (slow || it->failures_in_row >= ejection_failure_count) &&
                ejected < list.size() / targets_per_ejection) {
                eject(*it, now);
                ++ejected;
            }
        }
        // When targets leave the service, the allowed number of ejections decreases too.
        for (auto it = list.rbegin(); it != list.rend() && ejected > list.size() / targets_per_ejection;
             ++it) {
            if ((*it)->ejected) {
                readmit(**it, now);
                --ejected;
            }
        }
    }
}

} // namespace baobabswitch
