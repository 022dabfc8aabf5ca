#include "commands.h"
#include "completion.h"
#include "ctlsettings.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace baobabswitch;

namespace {

template <class Value>
Value option_or_default(const cxxopts::ParseResult& args, const char* name) {
    return args.count(name) > 0 ? args[name].as<Value>() : Value{};
}

cxxopts::Options make_options() {
    cxxopts::Options options{"baobabswitchctl", "Operators' command-line tool of baobabswitch."};
    options.positional_help("COMMAND [ARGUMENT]");
    const auto text = [] {
        return cxxopts::value<std::string>();
    };
    options.add_options()("platform", "address of the platform", text())(
        "node", "admin address of a node; may be repeated", cxxopts::value<std::vector<std::string>>())(
        "settings", "TOML file with platform, nodes, token and author",
        text())("token-file", "file that holds the operator's token",
                text())("author", "who makes the change", text())("reason", "why the change is made", text())(
        "output", "table or json", text()->default_value("table"))(
        "base-version", "version that the change starts from",
        cxxopts::value<std::uint64_t>())("write-id", "write identity of an apply to settle", text())(
        "no-wait", "don't wait until an accepted version is in force")(
        "wait-seconds", "maximum wait of apply, in seconds", cxxopts::value<unsigned>()->default_value("30"))(
        "limit", "maximum number of audit entries", cxxopts::value<std::size_t>()->default_value("20"))(
        "logs", "explain from this log of baobabswitch-mesh; may be repeated",
        cxxopts::value<std::vector<std::string>>())("version", "print the version and exit")(
        "help", "print this help and exit");
    options.add_options("hidden")("command", "", text())("arguments", "",
                                                         cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "arguments"});
    return options;
}

void write_help(const cxxopts::Options& options) {
    std::cout << options.help({""}) << "\nCommands:\n";
    for (const auto& it : ctl_commands()) {
        const auto usage = std::string{it.name} + ' ' + std::string{it.argument};
        std::cout << "  " << usage << std::string(20 - usage.size(), ' ') << it.help << '\n';
    }
    std::cout << "\nman baobabswitchctl explains the exit codes.\n";
}

exit_code run(const cxxopts::ParseResult& args) {
    ctl_arguments arguments;
    arguments.settings_file = option_or_default<std::string>(args, "settings");
    arguments.platform = option_or_default<std::string>(args, "platform");
    arguments.nodes = option_or_default<std::vector<std::string>>(args, "node");
    arguments.token_file = option_or_default<std::string>(args, "token-file");
    arguments.author = option_or_default<std::string>(args, "author");
    auto settings = read_ctl_settings(arguments);
    if (!settings) {
        return report(settings.error());
    }
    ctl_invocation invocation;
    invocation.command = args["command"].as<std::string>();
    invocation.arguments = option_or_default<std::vector<std::string>>(args, "arguments");
    invocation.settings = std::move(settings.value());
    const auto format = args["output"].as<std::string>();
    if (format != "table" && format != "json") {
        return report(
            {error_kind::bad_settings, "\"" + format + "\" is not an output format", "use table or json"});
    }
    invocation.format = format == "json" ? output_format::json : output_format::table;
    invocation.reason = option_or_default<std::string>(args, "reason");
    if (args.count("base-version") > 0) {
        invocation.base_version = args["base-version"].as<std::uint64_t>();
    }
    invocation.write_id = option_or_default<std::string>(args, "write-id");
    invocation.wait = args.count("no-wait") == 0;
    invocation.wait_timeout = std::chrono::seconds{args["wait-seconds"].as<unsigned>()};
    invocation.limit = args["limit"].as<std::size_t>();
    invocation.logs = option_or_default<std::vector<std::string>>(args, "logs");
    return run_command(invocation);
}

exit_code parse_and_run(int argc, char** argv) {
    auto options = make_options();
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            write_help(options);
            return exit_code::done;
        }
        if (args.count("version") > 0) {
            std::cout << "baobabswitchctl " BAOBABSWITCH_VERSION "\n";
            return exit_code::done;
        }
        if (args.count("command") == 0) {
            std::cerr << "baobabswitchctl: name a command; see --help\n";
            return exit_code::usage;
        }
        if (args["command"].as<std::string>() == "completion-bash") {
            write_bash_completion(std::cout);
            return exit_code::done;
        }
        return run(args);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "baobabswitchctl: " << ex.what() << "; see --help\n";
        return exit_code::usage;
    }
}

} // namespace

int main(int argc, char** argv) {
    return static_cast<int>(parse_and_run(argc, argv));
}
