#include "bootsettings.h"
#include "meshnode.h"
#include "metadatastore.h"
#include "port.h"
#include "wirenames.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace baobabswitch;

namespace {

/// How often the settings file is compared with what was read.
constexpr std::chrono::seconds reload_interval{2};

int report(const error& err) {
    std::cerr << "baobabswitch-mesh: " << describe(err) << '\n';
    return EXIT_FAILURE;
}

result<std::string> read_file(const std::string& name) {
    std::ifstream in{name};
    std::ostringstream buf;
    buf << in.rdbuf();
    if (!in) {
        return error{error_kind::bad_settings, "the settings file " + name + " can't be read",
                     std::string{"name a readable file with --settings or in "} +
                         platform::settings_variable};
    }
    return std::move(buf).str();
}

/// Reads the settings file again and applies it if it changed. A malformed file changes nothing.
void reload(mesh_node& node, const std::string& file, std::string& known) {
    const auto text = read_file(file);
    if (!text || text.value() == known) {
        return;
    }
    known = text.value();
    const auto changed = platform::decode_settings(known);
    if (!changed) {
        node.state().log.write("settings-rejected", {{"error", describe(changed.error())}});
        return;
    }
    node.reload(changed.value());
}

int run(const std::string& file, bool check_only) {
    auto text = read_file(file);
    if (!text) {
        return report(text.error());
    }
    auto settings = platform::decode_settings(text.value());
    if (!settings) {
        return report(settings.error());
    }
    if (check_only) {
        std::cout << file << ": the settings are valid\n";
        return EXIT_SUCCESS;
    }
    // A peer that closes while this process writes is reported by the write itself.
    (void)std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    auto store =
        platform::make_metadata_store(loop, settings.value().store, settings.value().listen.inbound.host);
    auto created = mesh_node::create(loop, settings.value(), platform::make_port(), std::move(store));
    if (!created) {
        return report(created.error());
    }
    auto& node = *created.value();
    std::string known = text.value();
    loop.on_termination_signal([&node] { node.stop(); });
    loop.on_reload_signal([&] { reload(node, file, known); });
    loop.schedule_every(reload_interval, [&] { reload(node, file, known); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    // The default would end the process if the settings change while it starts; they are read after this.
    (void)std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options{"baobabswitch-mesh",
                             "The baobabswitch node on a platform: one runs beside each target."};
    options.add_options()("settings", "settings file written by the platform", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit")("version", "print the version and exit")(
        "help", "print this help and exit");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (args.count("version") > 0) {
            std::cout << "baobabswitch-mesh " BAOBABSWITCH_VERSION "\n";
            return EXIT_SUCCESS;
        }
        const char* named = std::getenv(platform::settings_variable);
        if (args.count("settings") == 0 && named == nullptr) {
            std::cerr << "baobabswitch-mesh: no settings file; name one with --settings or in "
                      << platform::settings_variable << '\n';
            return EXIT_FAILURE;
        }
        return run(args.count("settings") > 0 ? args["settings"].as<std::string>() : named,
                   args.count("check-settings") > 0);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "baobabswitch-mesh: " << ex.what() << "; see --help\n";
        return EXIT_FAILURE;
    }
}
