#include "loadrun.h"

#include "nodeprobe.h"
#include "standinplatform.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <thread>

namespace baobabswitch {

std::size_t load_run_result::count(const std::string& outcome) const {
    return static_cast<std::size_t>(
        std::count_if(samples.begin(), samples.end(), [&](const auto& it) { return it.outcome == outcome; }));
}

std::size_t load_run_result::interrupted_attempts() const {
    std::size_t sum = 0;
    for (const auto& it : samples) {
        sum += it.interrupted_attempts;
    }
    return sum;
}

bool load_run_result::all_answers_complete() const {
    return std::all_of(samples.begin(), samples.end(), [](const auto& it) { return it.response_matches; });
}

double load_run_result::done_share(const std::string& kind, double from, double to) const {
    double planned = 0;
    double done = 0;
    for (const auto& it : samples) {
        if ((kind.empty() || it.kind == kind) && it.at >= from && it.at < to) {
            ++planned;
            done += it.outcome == "done" ? 1 : 0;
        }
    }
    return planned == 0 ? 0 : done / planned;
}

std::unique_ptr<deployment> start_small_deployment(bool proxied, const std::string& policy) {
    deployment_options options;
    options.binaries = std::filesystem::path{program("baobabswitchd")}.parent_path();
    options.workload_file = BAOBABSWITCH_WORKLOADS "/small.json";
    options.policy = policy;
    options.proxied = proxied;
    auto started = deployment::start(options);
    if (!started) {
        FAIL(describe(started.error()));
    }
    return std::move(started.value());
}

load_run_result run_load(deployment& deployed, const load_run_options& options) {
    constexpr std::chrono::seconds action_delay{1};
    load_options load;
    load.seconds = options.seconds;
    load.rate = [rate = capacity_per_second(deployed.load()) * options.demand](double) {
        return rate;
    };
    load.retry_policy = [&](double) {
        return options.retry_policy;
    };
    auto entries = options.entries;
    if (entries.empty()) {
        for (const auto& it : deployed.vms()) {
            entries.push_back(it.listen);
        }
    }
    event_loop loop;
    load_generator generator{loop, deployed.load(), entries, load};
    std::thread action;
    generator.start([&loop] { loop.stop(); },
                    [&] {
                        if (options.action) {
                            action = std::thread{[&] {
                                std::this_thread::sleep_for(action_delay);
                                options.action();
                            }};
                        }
                    });
    loop.run();
    if (action.joinable()) {
        action.join();
    }
    load_run_result outcome;
    outcome.samples = generator.samples();
    const auto executions = deployed.executions();
    outcome.executions = summarize(executions, deployed.load());
    for (const auto& it : outcome.samples) {
        outcome.not_run_but_executed += count_executed(executions, it.not_run_ids);
    }
    outcome.violated = deployed.logged_violations();
    for (const auto& vm : deployed.vms()) {
        for (const auto& [name, count] : read_node(vm).violated) {
            outcome.violated += count;
        }
    }
    return outcome;
}

} // namespace baobabswitch
