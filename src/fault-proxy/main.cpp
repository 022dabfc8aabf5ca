#include "commandline.h"
#include "httpserver.h"
#include "proxy.h"

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

#include <cstdlib>
#include <iostream>

using namespace baobabswitch;

namespace {

constexpr std::string_view program = "fault-proxy";

result<forwarding> parse_pair(const std::string& text) {
    const auto equals = std::min(text.find('='), text.size());
    const auto listen = parse_endpoint(text.substr(0, equals));
    const auto forward = parse_endpoint(equals == text.size() ? "" : text.substr(equals + 1));
    if (!listen || !forward) {
        return error{error_kind::bad_settings, "\"" + text + "\" is not a pair of endpoints",
                     "use the form LISTEN=FORWARD, for example 127.0.0.1:7500=127.0.0.1:7400"};
    }
    return forwarding{listen.value(), forward.value()};
}

/// Reads pairs = ["LISTEN=FORWARD", ...] from a TOML file.
result<void> read_pairs(const std::string& file_name, std::vector<std::string>& pairs) {
    try {
        const auto table = toml::parse_file(file_name);
        if (const auto* list = table["pairs"].as_array()) {
            for (const auto& it : *list) {
                pairs.push_back(it.value_or(std::string{}));
            }
        }
    } catch (const toml::parse_error& ex) {
        return error{error_kind::bad_settings, file_name + ": " + std::string{ex.description()},
                     "write pairs = [\"LISTEN=FORWARD\"]"};
    }
    return success();
}

int run(const cxxopts::ParseResult& args) {
    std::vector<std::string> texts;
    if (args.count("forward") > 0) {
        texts = args["forward"].as<std::vector<std::string>>();
    }
    if (args.count("settings") > 0) {
        if (const auto read = read_pairs(args["settings"].as<std::string>(), texts); !read) {
            return report_error(program, read.error());
        }
    }
    std::vector<forwarding> pairs;
    for (const auto& it : texts) {
        const auto pair = parse_pair(it);
        if (!pair) {
            return report_error(program, pair.error());
        }
        pairs.push_back(pair.value());
    }
    const auto control = parse_endpoint(args["control"].as<std::string>());
    if (!control) {
        return report_error(program, control.error());
    }
    event_loop loop;
    auto proxy = fault_proxy::create(loop, pairs, args["seed"].as<std::uint64_t>());
    if (!proxy) {
        return report_error(program, proxy.error());
    }
    auto server = http_server::listen(
        loop, control.value(), {},
        [&proxy](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
            if (path_of(request.target) == "/control" && request.method == "POST") {
                auto rules = parse_rules(request.body);
                if (!rules) {
                    exchange->respond(
                        json_response(400, nlohmann::json{{"error", describe(rules.error())}}.dump()));
                    return;
                }
                proxy.value()->set_rules(std::move(rules.value()));
            }
            exchange->respond(json_response(200, nlohmann::json(proxy.value()->counts()).dump()));
        });
    if (!server) {
        return report_error(program, server.error());
    }
    loop.on_termination_signal([&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{std::string{program},
                             "Forwards TCP connections and injects faults; POST /control sets the rules."};
    options.add_options()("forward", "LISTEN=FORWARD; may be repeated",
                          cxxopts::value<std::vector<std::string>>())(
        "settings", "TOML file with pairs = [\"LISTEN=FORWARD\"]",
        cxxopts::value<std::string>())("control", "address for POST /control and GET /counts",
                                       cxxopts::value<std::string>()->default_value("127.0.0.1:7500"))(
        "seed", "seed of the random number generator", cxxopts::value<std::uint64_t>()->default_value("1"));
    return run_program(program, options, argc, argv, run);
}
