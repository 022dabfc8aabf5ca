#include "commandline.h"
#include "target.h"

#include <cstdlib>
#include <iostream>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "standin-target";

int run(const cxxopts::ParseResult& args) {
    auto load = load_workload(args["workload"].as<std::string>());
    if (!load) {
        return report_error(program, load.error());
    }
    scale_down(load.value(), args["scale"].as<double>());
    const auto listen = parse_endpoint(args["listen"].as<std::string>());
    const auto node = parse_endpoint(args["node"].as<std::string>());
    if (!listen || !node) {
        return report_error(program, listen ? node.error() : listen.error());
    }
    target_options options;
    options.service = args["service"].as<std::string>();
    options.listen = listen.value();
    options.advertise = listen.value();
    if (args.count("advertise") > 0) {
        const auto advertise = parse_endpoint(args["advertise"].as<std::string>());
        if (!advertise) {
            return report_error(program, advertise.error());
        }
        options.advertise = advertise.value();
    }
    options.node = node.value();
    const auto service = load.value().services.find(options.service);
    if (service == load.value().services.end()) {
        return report_error(program, {error_kind::unknown_service,
                                      "the workload has no service \"" + options.service + "\"",
                                      "name one of its services"});
    }
    options.slots = service->second.slots;
    options.connections = service->second.connections;
    options.executions_file = args["executions"].as<std::string>();
    options.seed = args["seed"].as<std::uint64_t>();
    event_loop loop;
    auto target = standin_target::create(loop, std::move(load.value()), options);
    if (!target) {
        return report_error(program, target.error());
    }
    loop.on_termination_signal([&] { target.value()->leave(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{std::string{program},
                             "A back end for tests, with slots and service times of a workload."};
    options.add_options()("workload", "workload file", cxxopts::value<std::string>())(
        "service", "service of the workload", cxxopts::value<std::string>())("listen", "address to listen on",
                                                                             cxxopts::value<std::string>())(
        "advertise", "address announced to the node, if different from --listen",
        cxxopts::value<std::string>())("node", "address of the node on this VM",
                                       cxxopts::value<std::string>())(
        "scale", "divide slots and connections by this", cxxopts::value<double>()->default_value("1"))(
        "executions", "file that gets a line for each execution",
        cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed of the random numbers", cxxopts::value<std::uint64_t>()->default_value("1"));
    return run_program(program, options, argc, argv, run);
}
