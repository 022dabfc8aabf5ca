#include "configdocument.h"

#include "configschema.h"
#include "jsontext.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

template <class Value>
Value value_or(const json& object, const char* name, Value otherwise) {
    const auto it = object.find(name);
    return it == object.end() ? otherwise : it->get<Value>();
}

kind_config read_kind(const json& object) {
    kind_config kind;
    kind.service = object["service"].get<std::string>();
    kind.importance = object["importance"].get<importance_level>();
    kind.timeout = milliseconds{object["timeout_ms"].get<std::int64_t>()};
    kind.patience = milliseconds{value_or<std::int64_t>(object, "patience_ms", 0)};
    kind.idempotent = object["idempotent"].get<bool>();
    kind.cancellable = value_or(object, "cancellable", kind.idempotent);
    return kind;
}

service_config read_service(const json& object) {
    return {object["slots"].get<std::size_t>(), object["connections"].get<std::size_t>(),
            object["queue"].get<std::size_t>()};
}

policy_config read_policy(const json& object) {
    policy_config policy;
    const auto mode = value_or<std::string>(object, "mode", "baobabswitch");
    if (mode == "static") {
        policy.mode = policy_mode::static_limits;
    } else if (mode == "direct") {
        policy.mode = policy_mode::direct;
    }
    policy.retry_budget = value_or(object, "retry_budget", policy.retry_budget);
    policy.hedge_percent = value_or(object, "hedge_percent", policy.hedge_percent);
    return policy;
}

/// Returns the path of a JSON pointer in the form that messages use, for example "kinds.spot-lookup".
std::string dotted(const std::string& pointer) {
    auto path = pointer.substr(std::min<std::size_t>(1, pointer.size()));
    std::replace(path.begin(), path.end(), '/', '.');
    return path.empty() ? "document" : path;
}

} // namespace

result<configuration> configuration_from_json(const json& document) {
    if (const auto valid = validate_document(document); !valid) {
        return valid.error();
    }
    configuration config;
    for (const auto& [name, value] : document["kinds"].items()) {
        config.kinds[name] = read_kind(value);
    }
    for (const auto& [name, value] : document["services"].items()) {
        config.services[name] = read_service(value);
    }
    if (const auto policy = document.find("policy"); policy != document.end()) {
        config.policy = read_policy(*policy);
    }
    config.digest = document_digest(document);
    return config;
}

result<configuration> parse_configuration(std::string_view text) {
    const auto document = parse_json_or_discard(text);
    if (document.is_discarded()) {
        return error{error_kind::bad_document, "the document is not JSON",
                     "check commas, quotes and brackets"};
    }
    return configuration_from_json(document);
}

std::string document_digest(const json& document) {
    const auto text = document.dump();
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
    return buf.data();
}

std::vector<document_change> document_changes(const json& before, const json& after) {
    std::vector<document_change> changes;
    for (const auto& step : json::diff(before, after)) {
        const auto& path = step["path"].get_ref<const std::string&>();
        const json::json_pointer pointer{path};
        document_change it{dotted(path), {}, {}};
        if (step["op"] != "add") {
            it.before = before.at(pointer).dump();
        }
        if (step["op"] != "remove") {
            it.after = step["value"].dump();
        }
        changes.push_back(std::move(it));
    }
    return changes;
}

std::string describe(const document_change& change) {
    if (change.before.empty()) {
        return "+ " + change.path + ": " + change.after;
    }
    if (change.after.empty()) {
        return "- " + change.path + ": " + change.before;
    }
    return "~ " + change.path + ": " + change.before + " -> " + change.after;
}

} // namespace baobabswitch
