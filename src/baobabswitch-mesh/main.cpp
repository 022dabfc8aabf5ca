#include "bootsettings.h"
#include "commandline.h"
#include "files.h"
#include "meshnode.h"
#include "metadatastore.h"
#include "port.h"
#include "wirenames.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "baobabswitch-mesh";

/// How often the settings file is compared with what was read.
constexpr std::chrono::seconds reload_interval{2};

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
        return report_error(program, text.error());
    }
    auto settings = platform::decode_settings(text.value());
    if (!settings) {
        return report_error(program, settings.error());
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
        return report_error(program, created.error());
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
    cxxopts::Options options{std::string{program},
                             "The baobabswitch node on a platform: one runs beside each target."};
    options.add_options()("settings", "settings file written by the platform", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit");
    return run_program(program, options, argc, argv, [](const cxxopts::ParseResult& args) {
        const char* named = std::getenv(platform::settings_variable);
        if (args.count("settings") == 0 && named == nullptr) {
            std::cerr << "baobabswitch-mesh: no settings file; name one with --settings or in "
                      << platform::settings_variable << '\n';
            return EXIT_FAILURE;
        }
        return run(args.count("settings") > 0 ? args["settings"].as<std::string>() : named,
                   args.count("check-settings") > 0);
    });
}
