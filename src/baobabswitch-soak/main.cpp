#include "commandline.h"
#include "soak.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "baobabswitch-soak";

/// Prints a report as one JSON line. Returns whether no violation was found.
bool print_report(std::uint64_t seed, const soak_report& it) {
    std::cout << nlohmann::json{{"seed", seed},        {"sent", it.sent},
                                {"served", it.served}, {"refused", it.refused},
                                {"failed", it.failed}, {"store_calls", it.store_calls},
                                {"faults", it.faults}, {"violations", it.violations}}
                     .dump()
              << std::endl;
    return it.violations.empty();
}

int run(const cxxopts::ParseResult& args) {
    soak_options options;
    options.seconds = args["seconds"].as<double>();
    options.vms = args["vms"].as<unsigned>();
    options.node_program = args["node-program"].as<std::string>();
    const auto first = args["seed"].as<std::uint64_t>();
    const auto folder = args["folder"].as<std::string>();
    bool all_passed = true;
    for (auto seed = first; seed < first + args["runs"].as<std::uint64_t>(); ++seed) {
        options.seed = seed;
        options.folder = folder + "/seed-" + std::to_string(seed);
        std::error_code ec;
        std::filesystem::remove_all(options.folder, ec);
        const auto report = run_soak(options);
        if (!report) {
            std::cerr << "baobabswitch-soak: " << describe(report.error()) << '\n';
            return EXIT_FAILURE;
        }
        const bool passed = print_report(seed, report.value());
        all_passed = all_passed && passed;
        if (passed) {
            std::filesystem::remove_all(options.folder, ec);
        }
    }
    return all_passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{
        std::string{program},
        "Runs real nodes with a simulated store, targets and callers under random faults "
        "and checks their guarantees. Prints a JSON line for each seed; keeps the logs "
        "of failed seeds."};
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "runs", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "duration of a run; no faults are injected in the last 18 seconds",
        cxxopts::value<double>()->default_value("40"))("vms", "number of VMs, each with a node and a target",
                                                       cxxopts::value<unsigned>()->default_value("6"))(
        "node-program", "path of the node program",
        cxxopts::value<std::string>()->default_value("build/bin/baobabswitch-mesh"))(
        "folder", "folder for settings files and logs", cxxopts::value<std::string>()->default_value("soak"));
    return run_program(program, options, argc, argv, run);
}
