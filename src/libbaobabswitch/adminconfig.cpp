#include "adminconfig.h"

#include "configdocument.h"
#include "configstore.h"
#include "jsontext.h"
#include "peermessages.h"
#include "rollout.h"

namespace baobabswitch {

namespace {

using json = nlohmann::json;

unsigned http_status_of(error_kind kind) {
    switch (kind) {
    case error_kind::bad_document:
    case error_kind::malformed:
        return 400;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::too_large:
        return 413;
    case error_kind::store_unavailable:
        return 503;
    case error_kind::outcome_unknown:
        return 504;
    default:
        return 500;
    }
}

http_response error_response(const error& err) {
    return json_response(http_status_of(err.kind), error_body(err));
}

error malformed_body(const std::string& what) {
    return {error_kind::malformed, "the request " + what,
            "send {\"document\", \"author\", \"reason\", \"base_version\", \"write_id\"}"};
}

std::string string_field(const json& body, const char* name) {
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

/// Parses a request body and checks that it has a document.
result<json> parse_body(std::string_view text) {
    auto body = parse_json_or_discard(text);
    if (!body.is_object()) {
        return malformed_body("is not a JSON object");
    }
    if (!body.contains("document")) {
        return malformed_body("has no document");
    }
    return body;
}

result<config_change> parse_change(std::string_view text) {
    auto body = parse_body(text);
    if (!body) {
        return body.error();
    }
    const auto& it = body.value();
    const auto base = it.find("base_version");
    if (base == it.end() || !base->is_number_unsigned()) {
        return malformed_body("has no base_version");
    }
    config_change change;
    change.document = it["document"];
    change.author = string_field(it, "author");
    change.reason = string_field(it, "reason");
    change.write_id = string_field(it, "write_id");
    change.base_version = base->get<std::uint64_t>();
    change.may_be_written = it.contains("settle") && it["settle"] == true;
    return change;
}

} // namespace

http_response handle_get_config(object_store& store, std::uint64_t active_version) {
    const auto stored = read_config(store);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return error_response(stored.error());
    }
    json body{{"version", 0}, {"document", nullptr}};
    if (stored) {
        body = to_json(stored.value().change);
        body["document"] = stored.value().document;
    }
    body["version_here"] = active_version;
    return json_response(200, body.dump());
}

http_response handle_put_config(object_store& store, std::string_view body, std::uint64_t active_version,
                                std::chrono::system_clock::time_point now) {
    auto change = parse_change(body);
    if (!change) {
        return error_response(change.error());
    }
    change.value().time = utc_time(now);
    change.value().floor_version = active_version;
    const auto accepted = apply_change(store, change.value());
    return accepted ? json_response(200, to_json(accepted.value()).dump()) : error_response(accepted.error());
}

http_response handle_preview_changes(const http_response& accepted, std::string_view body) {
    const auto parsed = parse_body(body);
    if (!parsed) {
        return error_response(parsed.error());
    }
    const auto& document = parsed.value()["document"];
    if (const auto valid = configuration_from_json(document); !valid) {
        return error_response(valid.error());
    }
    if (accepted.status != 200) {
        return accepted;
    }
    const auto config = json::parse(accepted.body);
    const auto& before = config["document"];
    auto list = json::array();
    for (const auto& it : document_changes(before.is_null() ? json::object() : before, document)) {
        list.push_back(
            {{"path", it.path}, {"before", it.before}, {"after", it.after}, {"text", describe(it)}});
    }
    return json_response(200, json{{"base_version", config["version"]}, {"changes", std::move(list)}}.dump());
}

http_response handle_audit(object_store& store, std::size_t limit) {
    const auto entries = read_audit(store, limit);
    if (!entries) {
        return error_response(entries.error());
    }
    auto list = json::array();
    for (const auto& it : entries.value()) {
        list.push_back(to_json(it));
    }
    return json_response(200, json{{"changes", std::move(list)}}.dump());
}

http_response handle_rollout(object_store& store, std::chrono::system_clock::time_point now) {
    const auto state = read_rollout(store, now);
    return state ? json_response(200, to_json(state.value()).dump()) : error_response(state.error());
}

} // namespace baobabswitch
