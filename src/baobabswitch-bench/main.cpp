#include "commandline.h"
#include "cost.h"
#include "deployment.h"
#include "experiment.h"
#include "scenario.h"
#include "summary.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <unistd.h>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "baobabswitch-bench";

deployment_options make_deployment_options(const cxxopts::ParseResult& args) {
    deployment_options options;
    options.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    options.workload_file =
        args["workloads"].as<std::string>() + "/" + args["workload"].as<std::string>() + ".json";
    options.policy = args["policy"].as<std::string>();
    options.scale = args["scale"].as<double>();
    options.proxied = args.count("proxied") > 0;
    options.platform = args.count("platform") > 0;
    options.seed = args["seed"].as<std::uint64_t>();
    return options;
}

scenario_options make_scenario_options(const cxxopts::ParseResult& args) {
    return {args["demand"].as<double>(), args["seconds"].as<double>()};
}

int list_scenarios(const cxxopts::ParseResult& args) {
    const auto load = load_workload(make_deployment_options(args).workload_file);
    if (!load) {
        return report_error(program, load.error());
    }
    for (const auto& it : make_scenarios(load.value(), make_scenario_options(args))) {
        std::cout << it.name << ": " << it.purpose << " (" << total_seconds(it.phases) << " s)\n";
    }
    return EXIT_SUCCESS;
}

/// Writes the report to --report, or to standard output if that isn't a terminal; a terminal gets a table.
void write_report(const cxxopts::ParseResult& args, const nlohmann::json& summary) {
    const bool terminal = isatty(STDOUT_FILENO) != 0;
    if (args.count("report") > 0) {
        std::ofstream{args["report"].as<std::string>()} << summary.dump(2) << '\n';
    } else if (!terminal && args.count("table") == 0) {
        std::cout << summary.dump(2) << '\n';
    }
    if (terminal || args.count("table") > 0) {
        print_report(std::cout, summary);
    }
}

int run(const cxxopts::ParseResult& args) {
    auto options = make_deployment_options(args);
    auto load = load_workload(options.workload_file);
    if (!load) {
        return report_error(program, load.error());
    }
    scale_down(load.value(), options.scale);
    const auto scenarios = make_scenarios(load.value(), make_scenario_options(args));
    const auto name = args["scenario"].as<std::string>();
    const auto found =
        std::find_if(scenarios.begin(), scenarios.end(), [&](const scenario& it) { return it.name == name; });
    if (found == scenarios.end()) {
        return report_error(program, {error_kind::not_found, "there is no scenario \"" + name + "\"",
                                      "see --list-scenarios"});
    }
    options.proxied = options.proxied || found->proxied;
    options.platform = options.platform || found->platform;
    auto started = deployment::start(options);
    if (!started) {
        return report_error(program, started.error());
    }
    auto summary = run_experiment(*started.value(), *found, args["seed"].as<std::uint64_t>());
    summary["policy"] = options.policy;
    summary["scale"] = options.scale;
    write_report(args, summary);
    return EXIT_SUCCESS;
}

/// Starts the given number of nodes with targets of the workload "single".
result<std::unique_ptr<deployment>> start_single(const cxxopts::ParseResult& args, int nodes) {
    auto options = make_deployment_options(args);
    options.workload_file = args["workloads"].as<std::string>() + "/single.json";
    options.scale = 1;
    options.servers = nodes;
    return deployment::start(options);
}

int print_json(const cxxopts::ParseResult& args, const nlohmann::json& value) {
    if (args.count("report") > 0) {
        std::ofstream{args["report"].as<std::string>()} << value.dump(2) << '\n';
    } else {
        std::cout << value.dump(2) << '\n';
    }
    return EXIT_SUCCESS;
}

int run_cost(const cxxopts::ParseResult& args) {
    auto started = start_single(args, 1);
    if (!started) {
        return report_error(program, started.error());
    }
    cost_options options;
    options.seconds = args["seconds"].as<double>();
    options.seed = args["seed"].as<std::uint64_t>();
    const auto measured = measure_cost(*started.value(), options);
    return measured ? print_json(args, measured.value()) : report_error(program, measured.error());
}

int run_scale(const cxxopts::ParseResult& args) {
    constexpr double settle_seconds = 10;
    auto started = start_single(args, args["nodes"].as<int>());
    if (!started) {
        return report_error(program, started.error());
    }
    return print_json(args, measure_idle(*started.value(), settle_seconds, args["seconds"].as<double>()));
}

/// Runs a deployment until a termination signal, for manual use of the client and the console.
int run_serve(const cxxopts::ParseResult& args) {
    auto options = make_deployment_options(args);
    options.platform = true;
    auto started = deployment::start(options);
    if (!started) {
        return report_error(program, started.error());
    }
    const auto& it = *started.value();
    // The nodes start with a document from a file. This write stores it on the platform.
    const auto [status, version] = it.change_config(0, "serve", [](nlohmann::json&) {});
    if (version == 0) {
        return report_error(program,
                            {error_kind::store_unavailable,
                             "the first configuration was not accepted, status " + std::to_string(status),
                             "set BAOBABSWITCH_KEEP_LOGS=1 and see the logs of the nodes"});
    }
    std::string admins;
    for (const auto& vm : it.vms()) {
        admins += (admins.empty() ? "" : ",") + to_string(vm.admin);
    }
    const auto& entry = it.vms().back();
    std::cout << "export PATH=" << options.binaries << ":$PATH\n"
              << "export BAOBABSWITCH_PLATFORM=" << to_string(it.platform_address()) << '\n'
              << "export BAOBABSWITCH_NODES=" << admins << '\n'
              << "export BAOBABSWITCH_TOKEN=" << deployment::operator_credential() << '\n'
              << "# calls:   http://" << to_string(entry.listen) << "/v1/call/SERVICE/PATH\n"
              << "# console: http://" << to_string(entry.admin) << "/console\n"
              << "# Ctrl-C ends the deployment" << std::endl;
    event_loop loop;
    loop.on_termination_signal([&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{std::string{program}, "Load and experiment tool."};
    options.positional_help("run|serve|cost|scale|summary");
    options.add_options()("command", "run, serve, cost, scale or summary",
                          cxxopts::value<std::string>()->default_value("run"))(
        "workload", "vodnik or authority", cxxopts::value<std::string>()->default_value("vodnik"))(
        "workloads", "folder of workload files", cxxopts::value<std::string>()->default_value("workloads"))(
        "policy", "baobabswitch, static or direct",
        cxxopts::value<std::string>()->default_value("baobabswitch"))(
        "seed", "seed of the random numbers", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "scenario", "name of a scenario", cxxopts::value<std::string>()->default_value("steady"))(
        "proxied", "put fault-proxy between the nodes, with the workload's latency between domains")(
        "platform", "start standin-platform")("list-scenarios", "print the scenarios and exit")(
        "table", "print the table even if the output is not a terminal")(
        "scale", "divide slots and connections by this", cxxopts::value<double>()->default_value("10"))(
        "seconds", "duration in seconds of the scenario steady and of the commands cost and scale",
        cxxopts::value<double>()->default_value("5"))(
        "demand", "demand of the scenario steady as a multiple of capacity",
        cxxopts::value<double>()->default_value("0.5"))(
        "reports", "folder of reports for summary", cxxopts::value<std::string>()->default_value("report"))(
        "nodes", "number of nodes for the command scale", cxxopts::value<int>()->default_value("10"))(
        "report", "file for the JSON report", cxxopts::value<std::string>());
    options.parse_positional({"command"});
    return run_program(program, options, argc, argv, [](const cxxopts::ParseResult& args) {
        if (args.count("list-scenarios") > 0) {
            return list_scenarios(args);
        }
        const auto command = args["command"].as<std::string>();
        if (command == "serve") {
            return run_serve(args);
        }
        if (command == "cost") {
            return run_cost(args);
        }
        if (command == "scale") {
            return run_scale(args);
        }
        if (command == "summary") {
            const auto written = write_summary(args["reports"].as<std::string>());
            return written ? EXIT_SUCCESS : report_error(program, written.error());
        }
        if (command != "run") {
            return report_error(program, {error_kind::not_found, "there is no command \"" + command + "\"",
                                          "use run, serve, cost, scale or summary"});
        }
        return run(args);
    });
}
