#include "ctlsettings.h"

#include "files.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <initializer_list>
#include <sstream>

namespace baobabswitch {

namespace {

constexpr std::array<std::string_view, 4> known_keys{"platform", "nodes", "token", "author"};

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

/// Returns the first text that is not empty.
std::string first_non_empty(std::initializer_list<std::string_view> texts) {
    const auto* it = std::find_if(texts.begin(), texts.end(), [](auto text) { return !text.empty(); });
    return it == texts.end() ? "" : std::string{*it};
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream in{text};
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

struct file_settings {
    std::string platform;
    std::vector<std::string> nodes;
    std::string token;
    std::string author;
};

error invalid_key(const std::string& file_name, std::string_view key, std::string remedy) {
    return {error_kind::bad_settings, file_name + ": \"" + std::string{key} + "\" is not valid",
            std::move(remedy)};
}

result<file_settings> read_settings_file(const std::string& file_name) {
    file_settings settings;
    if (file_name.empty()) {
        return settings;
    }
    const auto text = read_file(file_name);
    if (!text) {
        return text.error();
    }
    toml::table root;
    try {
        root = toml::parse(text.value(), file_name);
    } catch (const toml::parse_error& ex) {
        return error{error_kind::bad_settings, file_name + ": " + std::string{ex.description()},
                     "correct the TOML syntax"};
    }
    for (const auto& [key, value] : root) {
        if (std::find(known_keys.begin(), known_keys.end(), key.str()) == known_keys.end()) {
            return invalid_key(file_name, key.str(), "use one of: platform, nodes, token, author");
        }
        if (key.str() != "nodes" && !value.is_string()) {
            return invalid_key(file_name, key.str(), "put the value in double quotes");
        }
    }
    settings.platform = root["platform"].value_or(std::string{});
    settings.token = root["token"].value_or(std::string{});
    settings.author = root["author"].value_or(std::string{});
    if (root.contains("nodes")) {
        const auto* nodes = root["nodes"].as_array();
        if (nodes == nullptr || !nodes->is_homogeneous<std::string>()) {
            return invalid_key(file_name, "nodes", "write for example [\"127.0.0.1:7401\"]");
        }
        for (const auto& it : *nodes) {
            settings.nodes.push_back(it.value_or(std::string{}));
        }
    }
    return settings;
}

} // namespace

result<ctl_settings> read_ctl_settings(const ctl_arguments& arguments) {
    const auto file =
        read_settings_file(first_non_empty({arguments.settings_file, environment("BAOBABSWITCH_SETTINGS")}));
    if (!file) {
        return file.error();
    }
    ctl_settings settings;
    const auto platform =
        first_non_empty({arguments.platform, environment("BAOBABSWITCH_PLATFORM"), file.value().platform});
    if (!platform.empty()) {
        const auto address = parse_endpoint(platform);
        if (!address) {
            return address.error();
        }
        settings.platform = address.value();
    }
    auto nodes = arguments.nodes;
    if (nodes.empty()) {
        nodes = split(environment("BAOBABSWITCH_NODES"));
    }
    for (const auto& it : nodes.empty() ? file.value().nodes : nodes) {
        const auto address = parse_endpoint(it);
        if (!address) {
            return address.error();
        }
        settings.nodes.push_back(address.value());
    }
    std::string token;
    if (!arguments.token_file.empty()) {
        auto text = read_file(arguments.token_file);
        if (!text) {
            return text.error();
        }
        token = std::move(text.value());
        token.erase(token.find_last_not_of("\r\n") + 1);
    }
    settings.token = first_non_empty({token, environment("BAOBABSWITCH_TOKEN"), file.value().token});
    settings.author =
        first_non_empty({arguments.author, environment("BAOBABSWITCH_AUTHOR"), file.value().author});
    return settings;
}

} // namespace baobabswitch
