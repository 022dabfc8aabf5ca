#include "commands.h"

#include "applycommand.h"
#include "configdocument.h"
#include "explainlogs.h"
#include "nodeclient.h"
#include "platformclient.h"
#include "rollout.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

std::string value_or_dash(const json& object, const char* name) {
    const auto it = object.find(name);
    return it == object.end() ? "-" : it->dump();
}

std::string text_or_dash(const json& object, const char* name) {
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : "-";
}

/// Writes a result as JSON or as a table.
exit_code write_result(const ctl_invocation& invocation, const json& result, const text_table& table) {
    if (invocation.format == output_format::json) {
        std::cout << result.dump(2) << '\n';
    } else {
        write_table(std::cout, table);
    }
    return exit_code::done;
}

result<std::unique_ptr<object_store>> open_platform(const ctl_invocation& invocation) {
    if (!invocation.settings.platform) {
        return error{error_kind::bad_settings, "the platform's address is not known",
                     "give --platform, BAOBABSWITCH_PLATFORM or \"platform\" in the settings file"};
    }
    return make_platform_client(*invocation.settings.platform);
}

result<std::vector<endpoint>> configured_nodes(const ctl_invocation& invocation) {
    if (invocation.settings.nodes.empty()) {
        return error{error_kind::bad_settings, "no node's admin address is known",
                     "give --node, BAOBABSWITCH_NODES or \"nodes\" in the settings file"};
    }
    return invocation.settings.nodes;
}

exit_code run_get(const ctl_invocation& invocation) {
    const auto store = open_platform(invocation);
    if (!store) {
        return report(store.error());
    }
    const auto stored = read_config(*store.value());
    if (!stored && stored.error().kind == error_kind::not_found) {
        return report({error_kind::not_found, "there is no configuration yet",
                       "apply one with: baobabswitchctl apply FILE"});
    }
    if (!stored) {
        return report(stored.error());
    }
    auto output = stored.value().document;
    if (invocation.format == output_format::json) {
        output = to_json(stored.value().change);
        output["document"] = stored.value().document;
    }
    std::cout << output.dump(2) << '\n';
    return exit_code::done;
}

exit_code run_validate(const ctl_invocation& invocation) {
    const auto document = read_document(invocation.arguments.front());
    if (!document) {
        return report(document.error());
    }
    if (invocation.format == output_format::json) {
        std::cout << json{{"valid", true}, {"digest", document_digest(document.value())}}.dump(2) << '\n';
    } else {
        std::cout << invocation.arguments.front() << ": valid, digest " << document_digest(document.value())
                  << '\n';
    }
    return exit_code::done;
}

exit_code run_apply(const ctl_invocation& invocation) {
    const auto store = open_platform(invocation);
    if (!store) {
        return report(store.error());
    }
    return apply_document(*store.value(), invocation);
}

exit_code run_status(const ctl_invocation& invocation) {
    const auto store = open_platform(invocation);
    if (!store) {
        return report(store.error());
    }
    const auto state = read_rollout(*store.value(), std::chrono::system_clock::now());
    if (!state) {
        return report(state.error());
    }
    if (invocation.format == output_format::table) {
        write_accepted_version(std::cout, state.value());
    }
    return write_result(invocation, to_json(state.value()), rollout_table(state.value()));
}

exit_code run_audit(const ctl_invocation& invocation) {
    const auto store = open_platform(invocation);
    if (!store) {
        return report(store.error());
    }
    const auto entries = read_audit(*store.value(), invocation.limit);
    if (!entries) {
        return report(entries.error());
    }
    auto list = json::array();
    text_table table{{"VERSION", "TIME", "AUTHOR", "REASON"}, {}};
    for (const auto& it : entries.value()) {
        list.push_back(to_json(it));
        table.rows.push_back({std::to_string(it.version), it.time, it.author, it.reason});
    }
    return write_result(invocation, list, table);
}

/// Returns the admin address of a node given by its id or by the address itself.
result<endpoint> find_node(const ctl_invocation& invocation, const std::string& name) {
    if (const auto address = parse_endpoint(name)) {
        return address.value();
    }
    const auto nodes = configured_nodes(invocation);
    if (!nodes) {
        return nodes.error();
    }
    std::size_t unreachable = 0;
    for (const auto& it : nodes.value()) {
        const auto status = get_from_node(it, "/v1/status");
        unreachable += status ? 0 : 1;
        if (status && text_or_dash(status.value(), "node") == name) {
            return it;
        }
    }
    return error{unreachable > 0 ? error_kind::store_unavailable : error_kind::not_found,
                 "none of the nodes given is \"" + name + "\" (" + std::to_string(unreachable) + " of " +
                     std::to_string(nodes.value().size()) + " don't answer)",
                 "give the node's own admin address, for example: drain 127.0.0.1:7401"};
}

exit_code run_drain(const ctl_invocation& invocation) {
    if (invocation.settings.token.empty()) {
        return report({error_kind::bad_settings, "no operator's token is given",
                       "set BAOBABSWITCH_TOKEN, --token-file or \"token\" in the settings file"});
    }
    const auto node = find_node(invocation, invocation.arguments.front());
    if (!node) {
        return report(node.error());
    }
    const auto answer = post_to_node(node.value(), "/v1/drain", invocation.settings.token);
    if (!answer) {
        return report(answer.error());
    }
    if (invocation.format == output_format::json) {
        std::cout << answer.value().dump(2) << '\n';
    } else {
        std::cout << text_or_dash(answer.value(), "node")
                  << ": draining; it stops when no call is in flight\n";
    }
    return exit_code::done;
}

exit_code run_top(const ctl_invocation& invocation) {
    const auto nodes = configured_nodes(invocation);
    if (!nodes) {
        return report(nodes.error());
    }
    auto list = json::array();
    text_table table{{"NODE", "DOMAIN", "ADDRESS", "VERSION", "RUNNING", "WAITING", "STATE"}, {}};
    bool answered = false;
    for (const auto& address : nodes.value()) {
        const auto status = get_from_node(address, "/v1/status");
        if (!status) {
            list.push_back({{"address", to_string(address)}, {"error", describe(status.error())}});
            table.rows.push_back({"-", "-", to_string(address), "-", "-", "-", "no answer"});
            continue;
        }
        answered = true;
        const auto& it = status.value();
        auto entry = it;
        entry["address"] = to_string(address);
        list.push_back(std::move(entry));
        const bool draining = it.contains("draining") && it["draining"] == true;
        table.rows.push_back({text_or_dash(it, "node"), text_or_dash(it, "domain"), to_string(address),
                              value_or_dash(it, "config_version"), value_or_dash(it, "running"),
                              value_or_dash(it, "waiting"), draining ? "draining" : "up"});
    }
    write_result(invocation, list, table);
    return answered ? exit_code::done : exit_code::unavailable;
}

/// Explains a request from collected logs of baobabswitch-mesh.
exit_code explain_by_logs(const ctl_invocation& invocation) {
    std::vector<json> lines;
    for (const auto& name : invocation.logs) {
        std::ifstream in{name};
        if (!in) {
            return report({error_kind::bad_settings, "the log " + name + " can't be read",
                           "give readable files with --logs"});
        }
        read_log(in, lines);
    }
    const auto it = explain_request(lines, invocation.arguments.front());
    if (!it) {
        return report(it.error());
    }
    return write_result(invocation,
                        {{"request", invocation.arguments.front()},
                         {"cause", it.value().cause},
                         {"lines", it.value().lines},
                         {"context", it.value().context}},
                        explanation_table(it.value()));
}

exit_code run_explain(const ctl_invocation& invocation) {
    if (!invocation.logs.empty()) {
        return explain_by_logs(invocation);
    }
    const auto& request = invocation.arguments.front();
    const auto nodes = configured_nodes(invocation);
    if (!nodes) {
        return report(nodes.error());
    }
    if (request.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") != std::string::npos) {
        return report({error_kind::malformed, "\"" + request + "\" is not a request id",
                       "give the value of the answer's Baobab-Request header"});
    }
    auto events = json::array();
    std::size_t unreachable = 0;
    for (const auto& address : nodes.value()) {
        const auto answer = get_from_node(address, "/v1/explain/" + request);
        if (!answer) {
            unreachable += answer.error().kind == error_kind::not_found ? 0 : 1;
            continue;
        }
        const auto found = answer.value().find("events");
        if (found == answer.value().end() || !found->is_array()) {
            continue;
        }
        for (auto it : *found) {
            it["address"] = to_string(address);
            events.push_back(std::move(it));
        }
    }
    const auto age = [](const json& it) {
        return it.value("age_ms", 0.0);
    };
    std::stable_sort(events.begin(), events.end(),
                     [&](const json& a, const json& b) { return age(a) > age(b); });
    text_table table{{"AGE MS", "NODE", "CALL", "EVENT", "DETAIL"}, {}};
    for (const auto& it : events) {
        table.rows.push_back({value_or_dash(it, "age_ms"), text_or_dash(it, "address"),
                              text_or_dash(it, "call"), text_or_dash(it, "event"),
                              text_or_dash(it, "detail")});
    }
    const bool empty = events.empty();
    if (empty) {
        return report({unreachable > 0 ? error_kind::store_unavailable : error_kind::not_found,
                       "none of the queried nodes has a record of the request \"" + request + "\" (" +
                           std::to_string(unreachable) + " of " + std::to_string(nodes.value().size()) +
                           " gave no answer)",
                       "name all nodes; nodes keep records of recent requests only"});
    }
    return write_result(invocation, {{"request", request}, {"silent_nodes", unreachable}, {"events", events}},
                        table);
}

} // namespace

const std::vector<ctl_command>& ctl_commands() {
    static const std::vector<ctl_command> commands{
        {"get", "", "print the configuration in the platform", run_get},
        {"validate", "FILE", "check a document against the schema", run_validate},
        {"apply", "FILE", "apply a document as the configuration; needs --reason and an author", run_apply},
        {"status", "", "show what is accepted and what is in force in each failure domain", run_status},
        {"drain", "NODE", "stop a node once its calls in flight have ended; needs a token", run_drain},
        {"audit", "", "list the accepted changes, newest first", run_audit},
        {"top", "", "show the load of each node", run_top},
        {"explain", "REQUEST", "show the decisions that nodes made about a request", run_explain},
    };
    return commands;
}

exit_code run_command(const ctl_invocation& invocation) {
    const auto& commands = ctl_commands();
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [&](const auto& command) { return command.name == invocation.command; });
    if (it == commands.end()) {
        std::cerr << "baobabswitchctl: unknown command \"" << invocation.command << "\"; see --help\n";
        return exit_code::usage;
    }
    const std::size_t expected = it->argument.empty() ? 0 : 1;
    if (invocation.arguments.size() != expected) {
        std::cerr << "baobabswitchctl: usage: baobabswitchctl " << it->name << ' ' << it->argument << '\n';
        return exit_code::usage;
    }
    return it->run(invocation);
}

exit_code report(const error& err) {
    std::cerr << "baobabswitchctl: " << describe(err) << '\n';
    return exit_code_of(err);
}

} // namespace baobabswitch
