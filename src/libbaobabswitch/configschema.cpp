#include "configschema.h"

#include <algorithm>
#include <array>
#include <string>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr std::int64_t max_timeout_ms = 10L * 60 * 1000;
constexpr std::int64_t max_patience_ms = 24L * 3600 * 1000;
constexpr std::int64_t max_slots = 10'000;
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t max_queue = 20'000;
constexpr std::int64_t max_importance = 9;
constexpr std::size_t max_name_length = 64;

constexpr std::array<std::string_view, 3> modes{"baobabswitch", "static", "direct"};

constexpr std::array kind_fields{
    schema_field{
        "service", field_type::service, true, 0, 0, {}, "", "", "service that runs this kind of request"},
    schema_field{
        "importance", field_type::number, true, 0, max_importance, {}, "", "", "0 is shed first, 9 last"},
    schema_field{"timeout_ms",
                 field_type::number,
                 true,
                 1,
                 max_timeout_ms,
                 {},
                 "",
                 "ms",
                 "default and maximum timeout of a call"},
    schema_field{"patience_ms",
                 field_type::number,
                 false,
                 0,
                 max_patience_ms,
                 {},
                 "0",
                 "ms",
                 "longest delay of a promised call; 0: calls are never promised"},
    schema_field{"idempotent",
                 field_type::boolean,
                 true,
                 0,
                 0,
                 {},
                 "",
                 "",
                 "whether a call may safely run twice; otherwise callers must send an idempotency key"},
    schema_field{"cancellable",
                 field_type::boolean,
                 false,
                 0,
                 0,
                 {},
                 "",
                 "",
                 "whether more important work may cancel it; default: same as idempotent"},
};

constexpr std::array service_fields{
    schema_field{"slots",
                 field_type::number,
                 true,
                 1,
                 max_slots,
                 {},
                 "",
                 "calls",
                 "calls that one target runs at the same time"},
    schema_field{"connections",
                 field_type::number,
                 true,
                 1,
                 max_connections,
                 {},
                 "",
                 "connections",
                 "connections that one target accepts"},
    schema_field{"queue",
                 field_type::number,
                 true,
                 0,
                 max_queue,
                 {},
                 "",
                 "calls",
                 "calls that may wait in the queue of one target"},
};

constexpr std::array policy_fields{
    schema_field{"mode", field_type::choice, false, 0, 0, modes, "\"baobabswitch\"", "",
                 "static and direct are the baselines of measurements"},
    schema_field{"retry_budget",
                 field_type::number,
                 false,
                 0,
                 100,
                 {},
                 "3",
                 "retries",
                 "retries of a whole request, over all hops"},
    schema_field{"hedge_percent",
                 field_type::number,
                 false,
                 0,
                 50,
                 {},
                 "5",
                 "% of calls",
                 "share of calls that may be sent a second time to another target"},
};

constexpr std::array sections{
    schema_section{"kinds", "price list", true, true, kind_fields},
    schema_section{"services", "services and limits", true, true, service_fields},
    schema_section{"policy", "policy", false, false, policy_fields},
};

std::string_view type_name(field_type type) {
    switch (type) {
    case field_type::number:
        return "number";
    case field_type::boolean:
        return "boolean";
    case field_type::choice:
        return "choice";
    case field_type::service:
        return "service";
    }
    return "number";
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

std::string quoted_path(std::string_view path) {
    return "\"" + std::string{path} + "\"";
}

error document_error(std::string_view path, const std::string& problem, std::string remedy) {
    return {error_kind::bad_document, quoted_path(path) + " " + problem, std::move(remedy)};
}

/// Formats a value for an error message, truncated; invalid UTF-8 is replaced.
std::string display_text(const json& value) {
    constexpr std::size_t max_length = 80;
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_length) {
        text = text.substr(0, max_length) + "...";
    }
    return text;
}

std::string comma_separated(std::span<const std::string_view> names) {
    std::string text;
    for (const auto& it : names) {
        text += (text.empty() ? "" : ", ") + std::string{it};
    }
    return text;
}

/// Reports whether a value is a whole number within bounds; numbers outside the range of int64
/// are out of bounds.
bool in_range(const json& value, std::int64_t minimum, std::int64_t maximum) {
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum) &&
               static_cast<std::int64_t>(value.get<std::uint64_t>()) >= minimum;
    }
    return value.is_number_integer() && value.get<std::int64_t>() >= minimum &&
           value.get<std::int64_t>() <= maximum;
}

result<void> validate_value(const schema_field& field, const json& value, const std::string& path) {
    switch (field.type) {
    case field_type::number:
        if (!in_range(value, field.minimum, field.maximum)) {
            return document_error(path, "is " + display_text(value),
                                  "write a whole number from " + std::to_string(field.minimum) + " to " +
                                      std::to_string(field.maximum));
        }
        break;
    case field_type::boolean:
        if (!value.is_boolean()) {
            return document_error(path, "is " + display_text(value), "write true or false");
        }
        break;
    case field_type::choice:
        if (!value.is_string() || std::none_of(field.choices.begin(), field.choices.end(),
                                               [&](auto it) { return value == std::string{it}; })) {
            return document_error(path, "is " + display_text(value),
                                  "write one of: " + comma_separated(field.choices));
        }
        break;
    case field_type::service:
        if (!value.is_string() || !is_name(value.get_ref<const std::string&>())) {
            return document_error(path, "is " + display_text(value),
                                  "write the name of a service under \"services\"");
        }
        break;
    }
    return success();
}

/// Checks an object's members against the fields.
result<void> validate_fields(std::span<const schema_field> fields, const json& object,
                             const std::string& path) {
    if (!object.is_object()) {
        return document_error(path, "is not an object", "write { ... }");
    }
    for (const auto& field : fields) {
        const auto field_path = path + "." + std::string{field.name};
        const auto it = object.find(field.name);
        if (it == object.end()) {
            if (field.required) {
                return document_error(field_path, "is missing", "add it: " + std::string{field.help});
            }
            continue;
        }
        if (const auto valid = validate_value(field, *it, field_path); !valid) {
            return valid.error();
        }
    }
    for (const auto& [name, value] : object.items()) {
        const auto known = std::any_of(fields.begin(), fields.end(),
                                       [&, &key = name](const auto& field) { return field.name == key; });
        if (!known) {
            std::string names;
            for (const auto& field : fields) {
                names += (names.empty() ? "" : ", ") + std::string{field.name};
            }
            return document_error(path + "." + name, "is not a field of the schema",
                                  "remove it or use one of: " + names);
        }
    }
    return success();
}

result<void> validate_section(const schema_section& section, const json& value) {
    const std::string path{section.name};
    if (!section.named) {
        return validate_fields(section.fields, value, path);
    }
    if (!value.is_object()) {
        return document_error(path, "is not an object", "write { \"name\": { ... } }");
    }
    for (const auto& [name, entry] : value.items()) {
        const auto entry_path = path + "." + name;
        if (!is_name(name)) {
            return document_error(entry_path, "is not a name",
                                  "use 1 to 64 of the characters a-z, 0-9 and -");
        }
        if (const auto valid = validate_fields(section.fields, entry, entry_path); !valid) {
            return valid.error();
        }
    }
    return success();
}

/// Checks that every service that a field refers to is defined in the document.
result<void> validate_references(const json& document) {
    for (const auto& [name, kind] : document["kinds"].items()) {
        const auto& service = kind["service"].get_ref<const std::string&>();
        if (!document["services"].contains(service)) {
            return document_error("kinds." + name + ".service",
                                  "names the unknown service " + quoted_path(service),
                                  "add the service under \"services\" or correct the name");
        }
    }
    return success();
}

json field_to_json(const schema_field& field) {
    json it{{"name", field.name},
            {"type", type_name(field.type)},
            {"required", field.required},
            {"unit", field.unit},
            {"help", field.help}};
    if (field.type == field_type::number) {
        it["least"] = field.minimum;
        it["greatest"] = field.maximum;
    }
    if (field.type == field_type::choice) {
        it["choices"] = std::vector<std::string>{field.choices.begin(), field.choices.end()};
    }
    if (!field.default_value.empty()) {
        it["initial"] = json::parse(field.default_value);
    }
    return it;
}

} // namespace

std::span<const schema_section> document_schema() {
    return sections;
}

json schema_to_json() {
    auto list = json::array();
    for (const auto& section : sections) {
        auto fields = json::array();
        for (const auto& field : section.fields) {
            fields.push_back(field_to_json(field));
        }
        list.push_back({{"name", section.name},
                        {"title", section.title},
                        {"named", section.named},
                        {"required", section.required},
                        {"fields", std::move(fields)}});
    }
    return {{"schema", schema_version}, {"sections", std::move(list)}};
}

result<void> validate_document(const json& document) {
    if (!document.is_object()) {
        return error{error_kind::bad_document, "the document is not an object",
                     "write { \"schema\": 1, \"kinds\": { ... }, \"services\": { ... } }"};
    }
    const auto schema = document.find("schema");
    if (schema == document.end()) {
        return document_error("schema", "is missing", "add \"schema\": " + std::to_string(schema_version));
    }
    if (!schema->is_number_integer() || *schema != schema_version) {
        return document_error("schema", "is " + display_text(*schema),
                              "write " + std::to_string(schema_version));
    }
    for (const auto& section : sections) {
        const auto it = document.find(section.name);
        if (it == document.end()) {
            if (section.required) {
                return document_error(section.name, "is missing",
                                      "add it: the " + std::string{section.title});
            }
            continue;
        }
        if (const auto valid = validate_section(section, *it); !valid) {
            return valid.error();
        }
    }
    for (const auto& [name, value] : document.items()) {
        const bool known =
            name == "schema" || std::any_of(sections.begin(), sections.end(),
                                            [&, &key = name](const auto& it) { return it.name == key; });
        if (!known) {
            return document_error(name, "is not a field of the schema",
                                  "remove it or use one of: schema, kinds, services, policy");
        }
    }
    return validate_references(document);
}

} // namespace baobabswitch
