#include "platform.h"
#include "settings.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

using namespace baobabswitch;

namespace {

int report(const error& err) {
    std::cerr << "standin-platform: " << describe(err) << '\n';
    return EXIT_FAILURE;
}

int run(const cxxopts::ParseResult& args) {
    const auto listen = parse_endpoint(args["listen"].as<std::string>());
    if (!listen) {
        return report(listen.error());
    }
    const auto faults = change_faults({}, args["control"].as<std::string>());
    if (!faults) {
        return report(faults.error());
    }
    event_loop loop;
    auto created = platform::create(loop, listen.value(), faults.value());
    if (!created) {
        return report(created.error());
    }
    if (args.count("objects") > 0) {
        const auto text = read_file(args["objects"].as<std::string>());
        if (!text) {
            return report(text.error());
        }
        if (const auto loaded = created.value()->load(text.value()); !loaded) {
            return report(loaded.error());
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
    cxxopts::Options options{"standin-platform", "The platform's object API in memory, for tests."};
    options.add_options()("listen", "address to listen on; port 0: any",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7300"))(
        "objects", "JSON file of initial objects", cxxopts::value<std::string>())(
        "control", "initial faults, as for POST /control",
        cxxopts::value<std::string>()->default_value("{}"))("help", "print this help and exit");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        return run(args);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "standin-platform: " << ex.what() << "; see --help\n";
        return EXIT_FAILURE;
    }
}
