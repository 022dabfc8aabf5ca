#pragma once

#include "errors.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace baobabswitch {

enum class field_type {
    number,  ///< whole number from `minimum` to `maximum`
    boolean, ///< true or false
    choice,  ///< one of `choices`
    service, ///< name of a service of the same document
};

/// One field of the configuration document: what validation accepts and what forms show.
struct schema_field {
    std::string_view name;
    field_type type = field_type::number;
    bool required = true;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::span<const std::string_view> choices;
    /// Value of an omitted field, as JSON; empty: there is none, or `help` describes it.
    std::string_view default_value;
    std::string_view unit;
    std::string_view help;
};

/// One top-level member of the document.
struct schema_section {
    std::string_view name;
    std::string_view title; ///< display name
    /// true: an object whose members are named by the operator and each hold `fields`; false: one object
    /// with `fields`.
    bool named = false;
    bool required = true;
    std::span<const schema_field> fields;
};

/// Version of the document format; "schema" in the document has to equal it.
inline constexpr std::int64_t schema_version = 1;

/// Returns the sections of the configuration document.
std::span<const schema_section> document_schema();

/// Returns the schema as JSON for GET /v1/schema and the console's forms.
nlohmann::json schema_to_json();

/// Checks a document against the schema.
/// Fails with bad_document; the message names the field, for example "kinds.spot-lookup.importance", the
/// remedy what to write.
result<void> validate_document(const nlohmann::json& document);

} // namespace baobabswitch
