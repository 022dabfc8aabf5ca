#include "configdocument.h"
#include "configschema.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;
using Catch::Contains;
using json = nlohmann::json;

namespace {

json valid_document() {
    return {{"schema", 1},
            {"services", {{"s", {{"slots", 1}, {"connections", 1}, {"queue", 0}}}}},
            {"kinds",
             {{"k",
               {{"service", "s"},
                {"importance", 1},
                {"timeout_ms", 5},
                {"patience_ms", 0},
                {"idempotent", true},
                {"cancellable", false}}}}},
            {"policy", {{"mode", "static"}, {"retry_budget", 2}, {"hedge_percent", 0}}}};
}

/// Returns the pointers of the objects that hold a section's fields.
json::json_pointer entry_of(const schema_section& section, const json& document) {
    json::json_pointer entry{"/" + std::string{section.name}};
    return section.named ? entry / document[entry].begin().key() : entry;
}

std::string dotted(const json::json_pointer& pointer) {
    auto text = pointer.to_string().substr(1);
    std::replace(text.begin(), text.end(), '/', '.');
    return "\"" + text + "\"";
}

void check_refused(const json& document, const std::string& field, const std::string& remedy) {
    INFO(document.dump());
    const auto config = configuration_from_json(document);
    REQUIRE_FALSE(config);
    CHECK(config.error().kind == error_kind::bad_document);
    CHECK_THAT(config.error().message, Contains(field));
    CHECK_THAT(config.error().remedy, Contains(remedy));
}

} // namespace

// Guards against a field that is read from the wrong place or not at all.
TEST_CASE("a valid document is read", "[config]") {
    const auto config = configuration_from_json(valid_document());
    REQUIRE(config);
    CHECK(config.value().policy.mode == policy_mode::static_limits);
    CHECK(config.value().policy.retry_budget == 2);
    CHECK_FALSE(config.value().kinds.at("k").cancellable);
    auto bare = valid_document();
    bare.erase("policy");
    bare["kinds"]["k"].erase("cancellable");
    CHECK(configuration_from_json(bare).value().kinds.at("k").cancellable);
    CHECK(configuration_from_json(bare).value().policy.retry_budget == 3);
}

// Guards against a bad value of any field that is accepted, or refused without its name and the remedy.
TEST_CASE("every field's bad values name the field and the remedy", "[config]") {
    std::size_t fields = 0;
    for (const auto& section : document_schema()) {
        for (const auto& field : section.fields) {
            ++fields;
            const auto valid = valid_document();
            const auto pointer = entry_of(section, valid) / std::string{field.name};
            std::vector<json> bad{nullptr, json::array(), json::object(), 1.5};
            std::string remedy;
            switch (field.type) {
            case field_type::number:
                bad.insert(bad.end(),
                           {field.minimum - 1, field.maximum + 1, "1", UINT64_MAX, INT64_MIN, true});
                remedy = std::to_string(field.minimum) + " to " + std::to_string(field.maximum);
                break;
            case field_type::boolean:
                bad.insert(bad.end(), {0, "true"});
                remedy = "true or false";
                break;
            case field_type::choice:
                bad.insert(bad.end(), {0, "other"});
                remedy = std::string{field.choices.front()};
                break;
            case field_type::service:
                bad.insert(bad.end(), {0, "Not A Name", "", std::string(65, 's'), "\xff"});
                remedy = "service";
                break;
            }
            for (const auto& it : bad) {
                auto document = valid;
                document[pointer] = it;
                INFO(pointer.to_string());
                const auto refused = configuration_from_json(document);
                REQUIRE_FALSE(refused);
                CHECK_THAT(refused.error().message, Contains(dotted(pointer)));
                CHECK_THAT(refused.error().remedy, Contains(remedy));
            }
            auto without = valid;
            without[entry_of(section, valid)].erase(std::string{field.name});
            if (field.required) {
                check_refused(without, dotted(pointer) + " is missing", "add it");
            } else {
                CHECK(configuration_from_json(without));
            }
            if (field.type == field_type::number) {
                for (const auto bound : {field.minimum, field.maximum}) {
                    auto document = valid;
                    document[pointer] = bound;
                    CHECK(configuration_from_json(document));
                }
            }
        }
    }
    CHECK(fields == 12);
}

// Guards against misspelt fields that are ignored, and against documents of another schema version.
TEST_CASE("unknown fields, names and forms are refused", "[config]") {
    auto document = valid_document();
    document["kinds"]["k"]["importence"] = 1;
    check_refused(document, "\"kinds.k.importence\"", "importance");
    document = valid_document();
    document["polices"] = json::object();
    check_refused(document, "\"polices\"", "policy");
    document = valid_document();
    document["kinds"]["Upper"] = document["kinds"]["k"];
    check_refused(document, "\"kinds.Upper\"", "a-z");
    document = valid_document();
    document["kinds"]["k"]["service"] = "other";
    check_refused(document, "\"kinds.k.service\" names the unknown service", "add the service");
    document = valid_document();
    document["schema"] = 2;
    check_refused(document, "\"schema\"", "write 1");
    document.erase("schema");
    check_refused(document, "\"schema\" is missing", "1");
    for (const auto* section : {"kinds", "services", "policy"}) {
        document = valid_document();
        document[section] = 1;
        check_refused(document, "\"" + std::string{section} + "\" is not an object", "write {");
    }
    document = valid_document();
    document["kinds"]["k"] = 1;
    check_refused(document, "\"kinds.k\" is not an object", "write {");
    check_refused(json::array(), "not an object", "schema");
    CHECK(parse_configuration("{").error().kind == error_kind::bad_document);
}

// Guards against a difference that hides what an operator is about to change.
TEST_CASE("differences show each changed field", "[config]") {
    const auto before = valid_document();
    auto after = before;
    after["kinds"]["k"]["importance"] = 9;
    after["kinds"]["new"] = after["kinds"]["k"];
    after["policy"].erase("mode");
    std::vector<std::string> lines;
    for (const auto& it : document_changes(before, after)) {
        lines.push_back(describe(it));
    }
    REQUIRE(lines.size() == 3);
    std::sort(lines.begin(), lines.end());
    CHECK_THAT(lines.at(0), Contains("+ kinds.new: {"));
    CHECK(lines.at(1) == "- policy.mode: \"static\"");
    CHECK(lines.at(2) == "~ kinds.k.importance: 1 -> 9");
    CHECK(document_changes(before, before).empty());
}

// Guards against forms that lack a field which validation demands.
TEST_CASE("the schema as data names every field", "[config]") {
    const auto schema = schema_to_json();
    REQUIRE(schema["sections"].size() == 3);
    CHECK(schema["sections"][0]["fields"][1]["greatest"] == 9);
    CHECK(schema["sections"][2]["fields"][0]["choices"].size() == 3);
}
