#include "experiment.h"

#include "measures.h"
#include "nodeprobe.h"

#include <algorithm>
#include <iomanip>
#include <mutex>
#include <ostream>
#include <thread>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

std::vector<node_reading> read_nodes(const deployment& deployed) {
    std::vector<node_reading> readings;
    for (const auto& it : deployed.vms()) {
        readings.push_back(read_node(it));
    }
    return readings;
}

json describe_cost(const deployment& deployed, const std::vector<node_reading>& before,
                   const std::vector<node_reading>& after, double seconds) {
    json nodes = json::object();
    double cpu_sum = 0;
    double cpu_max = 0;
    double memory_max = 0;
    double bytes_sum = 0;
    for (std::size_t n = 0; n < after.size(); ++n) {
        // The counters of a restarted process start from zero.
        const auto rate_per_second = [&](double node_reading::*field) {
            const double start = before.at(n).*field;
            const double end = after.at(n).*field;
            return (end >= start ? end - start : end) / seconds;
        };
        constexpr double percent = 100;
        const double cpu = rate_per_second(&node_reading::cpu_seconds) * percent;
        const double bytes = rate_per_second(&node_reading::control_bytes);
        nodes[deployed.vms().at(n).node_id] = {{"cpu_percent", cpu},
                                               {"resident_mb", after.at(n).resident_mb},
                                               {"control_bytes_per_second", bytes}};
        cpu_sum += cpu;
        bytes_sum += bytes;
        cpu_max = std::max(cpu_max, cpu);
        memory_max = std::max(memory_max, after.at(n).resident_mb);
    }
    const auto count = static_cast<double>(after.size());
    return {{"nodes", nodes},
            {"cpu_percent_mean", cpu_sum / count},
            {"cpu_percent_max", cpu_max},
            {"resident_mb_max", memory_max},
            {"control_bytes_per_second_mean", bytes_sum / count}};
}

json describe_invariants(const deployment& deployed, const std::vector<node_reading>& readings) {
    json table = json::object();
    for (const auto& reading : readings) {
        for (const auto& [name, count] : reading.checked) {
            auto& row = table[name];
            row = row.is_null() ? json{{"checked", 0}, {"violated", 0}} : row;
            row["checked"] = row["checked"].get<std::uint64_t>() + count;
        }
        for (const auto& [name, count] : reading.violated) {
            table[name]["violated"] = table[name]["violated"].get<std::uint64_t>() + count;
        }
    }
    std::uint64_t violated = 0;
    for (const auto& it : table) {
        violated += it.value("violated", std::uint64_t{0});
    }
    // The logs also contain violations of processes that were restarted during the run.
    return {{"by_name", table}, {"violated", violated}, {"violated_in_logs", deployed.logged_violations()}};
}

json describe_executions(const execution_summary& sum) {
    return {{"executions", sum.runs},
            {"distinct_calls", sum.distinct_calls},
            {"retries", sum.retries},
            {"max_retries_per_request", sum.max_retries_per_request},
            {"non_idempotent_repeats", sum.non_idempotent_repeats}};
}

json describe_precision(const std::vector<request_sample>& samples) {
    std::vector<double> lags;
    for (const auto& it : samples) {
        constexpr double ms_per_second = 1000;
        lags.push_back(it.send_lag * ms_per_second);
    }
    return {{"latency_from", "planned send time"},
            {"percentiles", "exact, from all samples"},
            {"send_lag_p50_ms", percentile(lags, 0.5)},
            {"send_lag_p99_ms", percentile(lags, 0.99)}};
}

/// Runs the actions of the phases at their times, each on its own thread.
class action_runner {
public:
    action_runner(event_loop& loop, deployment& deployed, const std::vector<phase>& phases)
        : loop_(loop),
          deployed_(deployed),
          phases_(phases) {}

    ~action_runner() {
        wait();
    }
    action_runner(const action_runner&) = delete;
    action_runner& operator=(const action_runner&) = delete;
    action_runner(action_runner&&) = delete;
    action_runner& operator=(action_runner&&) = delete;

    /// Waits for all actions and returns their results by phase name.
    const json& wait() {
        for (auto& it : threads_) {
            if (it.joinable()) {
                it.join();
            }
        }
        return events_;
    }

    /// Starts the action of the phase with the given index now and those of later phases at their times.
    void start_phase(std::size_t n) {
        if (n >= phases_.size()) {
            return;
        }
        const auto& it = phases_.at(n);
        if (it.on_start) {
            threads_.emplace_back([this, &it] {
                auto found = it.on_start(deployed_, it.seconds);
                const std::lock_guard lock{mutex_};
                if (!found.is_null()) {
                    events_[it.name] = std::move(found);
                }
            });
        }
        loop_.schedule(std::chrono::duration_cast<duration>(std::chrono::duration<double>(it.seconds)),
                       [this, n] { start_phase(n + 1); });
    }

private:
    event_loop& loop_;
    deployment& deployed_;
    const std::vector<phase>& phases_;
    std::vector<std::thread> threads_;
    std::mutex mutex_; ///< guards events_ while actions run
    json events_ = json::object();
};

double weight_of(const phase& it, const std::string& kind) {
    const auto found = it.weights.find(kind);
    return found == it.weights.end() ? 1 : found->second;
}

/// Returns the factor by which the weights of a phase change the sum of all shares.
double weighted_share(const workload& load, const phase& it) {
    double plain = 0;
    double weighted = 0;
    for (const auto& [name, kind] : load.kinds) {
        plain += kind.share;
        weighted += kind.share * weight_of(it, name);
    }
    return weighted / plain;
}

} // namespace

json run_experiment(deployment& deployed, const scenario& plan, std::uint64_t seed) {
    const auto& load = deployed.load();
    const auto& phases = plan.phases;
    const double capacity = capacity_per_second(load);
    std::vector<endpoint> nodes;
    for (const auto& vm : deployed.vms()) {
        nodes.push_back(vm.listen);
    }
    load_options options;
    options.seed = seed;
    options.seconds = total_seconds(phases);
    options.rate = [&](double at) {
        return capacity * demand_at(phases, at) * weighted_share(load, phase_at(phases, at));
    };
    options.weight = [&](const std::string& kind, double at) {
        return weight_of(phase_at(phases, at), kind);
    };
    options.retry_policy = [&](double at) {
        return phase_at(phases, at).retry_policy;
    };
    options.client_latency = milliseconds{static_cast<int>(load.client_latency_ms)};
    event_loop loop;
    load_generator generator{loop, load, nodes, options};
    const auto before = read_nodes(deployed);
    const auto start_time = clock::now();
    json events;
    {
        action_runner actions{loop, deployed, phases};
        generator.start([&loop] { loop.stop(); }, [&actions] { actions.start_phase(0); });
        loop.run();
        events = actions.wait();
    }
    const double elapsed = std::chrono::duration<double>(clock::now() - start_time).count();
    const auto after = read_nodes(deployed);
    const auto& samples = generator.samples();
    std::size_t interrupted_attempts = 0;
    std::size_t wrong_answers = 0;
    std::size_t false_not_run = 0;
    const auto executions = deployed.executions();
    for (const auto& it : samples) {
        false_not_run += count_executed(executions, it.not_run_ids);
        interrupted_attempts += it.interrupted_attempts;
        wrong_answers += it.response_matches ? 0 : 1;
    }
    return {{"workload", load.name},
            {"scenario", plan.name},
            {"seed", seed},
            {"seconds", options.seconds},
            {"capacity_per_second", capacity},
            {"requests", samples.size()},
            {"cut_off_attempts", interrupted_attempts},
            {"wrong_answers", wrong_answers},
            {"not_run_but_executed", false_not_run},
            {"events", std::move(events)},
            {"measures", measure(samples, plan, load)},
            {"phases", describe_phases(samples, plan, load)},
            {"kinds", count_kinds(samples, load)},
            {"invariants", describe_invariants(deployed, after)},
            {"executions", describe_executions(summarize(executions, load))},
            {"cost", describe_cost(deployed, before, after, elapsed)},
            {"precision", describe_precision(samples)}};
}

namespace {

std::string text_of(const json& value) {
    if (value.is_null()) {
        return "-";
    }
    if (value.is_number_float()) {
        std::ostringstream out;
        out << std::fixed << std::setprecision(2) << value.get<double>();
        return out.str();
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_measures(std::ostream& out, const json& measures) {
    if (const auto& it = measures["goodput"]; !it.is_null()) {
        for (const auto& level : it["levels"]) {
            out << "  goodput at " << text_of(level["demand"])
                << " x capacity: " << text_of(level["goodput_per_second"]) << "/s, "
                << text_of(level["share_of_capacity"]) << " of capacity\n";
        }
    }
    if (const auto& it = measures["recovery"]; !it.is_null()) {
        out << "  recovery after a surge with aggressive retries: "
            << (it["recovered"].get<bool>() ? text_of(it["seconds"]) + " s" : "not within the run")
            << " (target 5 s)\n";
    }
    if (const auto& it = measures["crest"]; !it.is_null()) {
        out << "  crest: " << text_of(it["refused"]) << " of " << text_of(it["planned"]) << ' '
            << text_of(it["kind"]) << " refused (target 0), " << text_of(it["served"]) << " served, "
            << text_of(it["promised"]) << " promised\n";
    }
    if (const auto& it = measures["short_behind_long"]; !it.is_null()) {
        out << "  short behind long: p99 ratio " << text_of(it["ratio"]) << " (target 1.5)\n";
    }
    if (const auto& it = measures["slow_target"]; !it.is_null()) {
        out << "  one slowed target: p99 ratio " << text_of(it["ratio"]) << ", "
            << text_of(it["ratio_after_2_s"]) << " after 2 s (target 1.5)\n";
    }
}

} // namespace

void print_report(std::ostream& out, const json& report) {
    out << text_of(report["workload"]) << ' ' << text_of(report["scenario"]) << ", policy "
        << text_of(report["policy"]) << ", seed " << text_of(report["seed"]) << ", "
        << text_of(report["requests"]) << " requests, capacity " << text_of(report["capacity_per_second"])
        << "/s\n";
    print_measures(out, report["measures"]);
    constexpr int name_width = 20;
    constexpr int width = 10;
    out << "  " << std::left << std::setw(name_width) << "kind" << std::right;
    for (const auto* it :
         {"requests", "good", "done", "not-run", "unknown", "promised", "failed", "p50 ms", "p99 ms"}) {
        out << std::setw(width) << it;
    }
    out << '\n';
    for (const auto& [name, it] : report["kinds"].items()) {
        out << "  " << std::left << std::setw(name_width) << name << std::right << std::setw(width)
            << text_of(it["requests"]) << std::setw(width) << text_of(it["good"]);
        for (const auto* outcome : {"done", "not-run", "unknown", "promised", "failed"}) {
            out << std::setw(width) << it["outcomes"].value(outcome, 0);
        }
        out << std::setw(width) << text_of(it.value("p50_ms", json())) << std::setw(width)
            << text_of(it.value("p99_ms", json())) << '\n';
    }
    const auto& executions = report["executions"];
    const auto& cost = report["cost"];
    out << "  invariants violated: " << text_of(report["invariants"]["violated"])
        << "; non-idempotent repeats: " << text_of(executions["non_idempotent_repeats"])
        << "; retries: " << text_of(executions["retries"]) << " in " << text_of(executions["executions"])
        << " executions, at most " << text_of(executions["max_retries_per_request"]) << " per request\n"
        << "  node: CPU " << text_of(cost["cpu_percent_mean"]) << "% mean, "
        << text_of(cost["cpu_percent_max"]) << "% max; memory " << text_of(cost["resident_mb_max"])
        << " MB max; control " << text_of(cost["control_bytes_per_second_mean"]) << " B/s mean; send lag p99 "
        << text_of(report["precision"]["send_lag_p99_ms"]) << " ms\n";
}

} // namespace baobabswitch
