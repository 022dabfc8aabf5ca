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

constexpr std::string_view program_name = "baobabswitch-mesh";

/// Interval between checks of the settings file for changes.
constexpr std::chrono::seconds reload_interval{2};

/// Rereads the settings file and applies it if its text changed. Malformed settings are logged and ignored.
void reload(mesh_node& node, const std::string& settings_file, std::string& last_text) {
    const auto text = read_file(settings_file);
    if (!text || text.value() == last_text) {
        return;
    }
    last_text = text.value();
    const auto decoded = platform::decode_settings(last_text);
    if (!decoded) {
        node.state().log.write("settings-rejected", {{"error", describe(decoded.error())}});
        return;
    }
    node.reload(decoded.value());
}

int run(const std::string& settings_file, bool check_only) {
    auto text = read_file(settings_file);
    if (!text) {
        return report_error(program_name, text.error());
    }
    auto settings = platform::decode_settings(text.value());
    if (!settings) {
        return report_error(program_name, settings.error());
    }
    if (check_only) {
        std::cout << settings_file << ": the settings are valid\n";
        return EXIT_SUCCESS;
    }
    // With SIGPIPE ignored, a write to a closed connection fails with EPIPE instead of ending the process.
    (void)std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    auto store =
        platform::make_metadata_store(loop, settings.value().store, settings.value().listen.inbound.host);
    auto created = mesh_node::create(loop, settings.value(), platform::make_port(), std::move(store));
    if (!created) {
        return report_error(program_name, created.error());
    }
    auto& node = *created.value();
    std::string last_text = text.value();
    loop.on_termination_signal([&node] { node.stop(); });
    loop.on_reload_signal([&] { reload(node, settings_file, last_text); });
    loop.schedule_every(reload_interval, [&] { reload(node, settings_file, last_text); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    // SIGHUP reports changed settings, and its default action would terminate the process if it arrives
    // before run() installs the handler. No change is lost: the settings are read after this call and checked
    // again every reload_interval.
    (void)std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options{std::string{program_name},
                             "Node of the baobabswitch mesh; one process runs next to each target."};
    options.add_options()("settings", "settings file written by the platform", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit");
    return run_program(program_name, options, argc, argv, [](const cxxopts::ParseResult& args) {
        const char* variable_path = std::getenv(platform::settings_path_variable);
        if (args.count("settings") == 0 && variable_path == nullptr) {
            std::cerr << "baobabswitch-mesh: no settings file given; pass --settings or set "
                      << platform::settings_path_variable << '\n';
            return EXIT_FAILURE;
        }
        return run(args.count("settings") > 0 ? args["settings"].as<std::string>() : variable_path,
                   args.count("check-settings") > 0);
    });
}
