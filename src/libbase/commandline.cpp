#include "commandline.h"

#include <cstdlib>
#include <iostream>

namespace baobabswitch {

int report_error(std::string_view program, const error& err) {
    std::cerr << program << ": " << describe(err) << '\n';
    return EXIT_FAILURE;
}

int run_program(std::string_view program, cxxopts::Options& options, int argc, char** argv,
                const std::function<int(const cxxopts::ParseResult&)>& run) {
    options.add_options()("version", "print the version and exit")("help", "print this help and exit");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (args.count("version") > 0) {
            std::cout << program << " " BAOBABSWITCH_VERSION "\n";
            return EXIT_SUCCESS;
        }
        return run(args);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << program << ": " << ex.what() << "; see --help\n";
        return EXIT_FAILURE;
    }
}

} // namespace baobabswitch
