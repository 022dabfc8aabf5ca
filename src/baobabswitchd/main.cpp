#include "adminserver.h"
#include "commandline.h"
#include "log.h"
#include "node.h"
#include "platformclient.h"
#include "promisedcalls.h"
#include "settings.h"

#include <caf/all.hpp>

#include <cstdlib>
#include <iostream>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "baobabswitchd";

/// Starts the promise service of a node. Returns null if the node's settings name no platform.
std::unique_ptr<promise_service> start_promises(node& it, caf::actor_system& actors) {
    auto& state = it.state();
    if (!state.settings.platform) {
        return nullptr;
    }
    promise_service_options options;
    options.domain = state.settings.domain;
    options.self = state.settings.node_id + "." + std::to_string(state.incarnation);
    auto promises = std::make_unique<promise_service>(
        actors, state.loop, make_platform_client(*state.settings.platform), options, state.invariants,
        [&state](promise_item item) { run_promised(state, std::move(item)); });
    state.promises = promises.get();
    return promises;
}

int run(const std::string& settings_file, bool check_only) {
    auto settings = load_settings(settings_file);
    if (!settings) {
        return report_error(program, settings.error());
    }
    if (check_only) {
        std::cout << settings_file << ": the settings are valid\n";
        return EXIT_SUCCESS;
    }
    set_up_logging(settings.value().log);
    invariant_table invariants;
    invariants.on_violation = [](invariant which, std::string_view detail) {
        log(log_level::error, "invariant", detail, {{"invariant", std::string{invariant_name(which)}}});
    };
    node_metrics metrics{invariants};
    // The actor system must outlive the node, whose actors run in it.
    caf::actor_system_config actor_options;
    actor_options.set("scheduler.policy", caf::atom("sharing"));
    actor_options.set("scheduler.max-threads", 1);
    caf::actor_system actors{actor_options};
    event_loop loop;
    auto created = node::create(loop, std::move(settings.value()), invariants, metrics);
    if (!created) {
        return report_error(program, created.error());
    }
    auto& it = *created.value();
    // Promises and configuration sync call the platform concurrently, so each has its own connections.
    std::shared_ptr<object_store> store;
    if (it.state().settings.platform) {
        store = make_platform_client(*it.state().settings.platform);
    }
    if (const auto sharing = it.start_sharing(actors, store); !sharing) {
        return report_error(program, sharing.error());
    }
    const auto promises = start_promises(it, actors);
    auto admin = admin_server::start(it.state(), [&it] { it.drain(); });
    if (!admin) {
        return report_error(program, admin.error());
    }
    loop.on_termination_signal([&it] { it.drain(); });
    loop.on_unexpected_error([](std::string_view what) {
        log(log_level::error, "node", "unexpected error; the call that caused it gets no result",
            {{"error", std::string{what}}});
    });
    log(log_level::info, "node", "started",
        {{"node", it.state().settings.node_id}, {"listen", to_string(it.state().settings.listen)}});
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{std::string{program}, "The baobabswitch node: one runs beside each target."};
    options.add_options()("settings", "TOML settings file", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit");
    return run_program(program, options, argc, argv, [](const cxxopts::ParseResult& args) {
        if (args.count("settings") == 0) {
            std::cerr << "baobabswitchd: --settings is missing; name the TOML settings file\n";
            return EXIT_FAILURE;
        }
        return run(args["settings"].as<std::string>(), args.count("check-settings") > 0);
    });
}
