#include "commandline.h"
#include "files.h"
#include "platform.h"

#include <cstdlib>
#include <iostream>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "standin-platform";

int run(const cxxopts::ParseResult& args) {
    const auto listen = parse_endpoint(args["listen"].as<std::string>());
    if (!listen) {
        return report_error(program, listen.error());
    }
    const auto faults = change_faults({}, args["control"].as<std::string>());
    if (!faults) {
        return report_error(program, faults.error());
    }
    event_loop loop;
    auto created = platform::create(loop, listen.value(), faults.value());
    if (!created) {
        return report_error(program, created.error());
    }
    if (args.count("objects") > 0) {
        const auto text = read_file(args["objects"].as<std::string>());
        if (!text) {
            return report_error(program, text.error());
        }
        if (const auto loaded = created.value()->load(text.value()); !loaded) {
            return report_error(program, loaded.error());
        }
    }
    std::cout << "standin-platform: listening on " << listen.value().host << ':' << created.value()->port()
              << std::endl;
    loop.on_termination_signal([&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{std::string{program}, "The platform's object API in memory, for tests."};
    options.add_options()("listen", "address to listen on; port 0: any",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7300"))(
        "objects", "JSON file of initial objects",
        cxxopts::value<std::string>())("control", "initial faults, as for POST /control",
                                       cxxopts::value<std::string>()->default_value("{}"));
    return run_program(program, options, argc, argv, run);
}
