#include "jsontext.h"

#include <algorithm>

namespace baobabswitch {

namespace {

using nlohmann::json;

constexpr std::string_view whitespace = " \t\r\n";
constexpr std::string_view remedy = "check the program that wrote the text";

error malformed(std::string message) {
    return {error_kind::malformed, std::move(message), std::string{remedy}};
}

error wrong_field(std::string_view name, std::string_view expected) {
    return malformed("the field \"" + std::string{name} + "\" is not " + std::string{expected});
}

std::string_view trimmed(std::string_view text) {
    text.remove_prefix(std::min(text.find_first_not_of(whitespace), text.size()));
    return text.substr(0, text.find_last_not_of(whitespace) + 1);
}

/// Returns the position after the string that starts at `n`, or npos if it has no end.
std::size_t skip_string(std::string_view text, std::size_t n) {
    for (++n; n < text.size(); ++n) {
        if (text[n] == '\\') {
            ++n;
        } else if (text[n] == '"') {
            return n + 1;
        }
    }
    return std::string_view::npos;
}

/// Returns the largest nesting depth of the brackets outside of strings.
std::size_t nesting_depth(std::string_view text) {
    std::size_t depth = 0;
    std::size_t deepest = 0;
    for (std::size_t n = 0; n < text.size();) {
        if (text[n] == '"') {
            n = skip_string(text, n);
            continue;
        }
        if (text[n] == '[' || text[n] == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((text[n] == ']' || text[n] == '}') && depth > 0) {
            --depth;
        }
        ++n;
    }
    return deepest;
}

/// Splits the text between the brackets of a container at the commas of its own level.
std::optional<std::vector<std::string_view>> split_container(std::string_view text, char open, char close) {
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    std::vector<char> closing; // of the open containers, innermost last
    std::size_t start = 0;
    for (std::size_t n = 0; n < text.size();) {
        const char it = text[n];
        if (it == '"') {
            n = skip_string(text, n);
            if (n == std::string_view::npos) {
                return std::nullopt;
            }
            continue;
        }
        if (it == '[' || it == '{') {
            closing.push_back(it == '[' ? ']' : '}');
        } else if (it == ']' || it == '}') {
            if (closing.empty() || closing.back() != it) {
                return std::nullopt;
            }
            closing.pop_back();
        } else if (it == ',' && closing.empty()) {
            parts.push_back(trimmed(text.substr(start, n - start)));
            start = n + 1;
        }
        ++n;
    }
    if (!closing.empty()) {
        return std::nullopt;
    }
    const auto last = trimmed(text.substr(start));
    if (!last.empty() || !parts.empty()) {
        parts.push_back(last);
    }
    return parts;
}

result<const json*> read_container(const json& object, std::string_view name, json::value_t type) {
    const auto* it = find_field(object, name);
    if (it == nullptr || it->type() != type) {
        return wrong_field(name, type == json::value_t::array ? "an array" : "an object");
    }
    return it;
}

} // namespace

result<json> parse_json(std::string_view text) {
    if (nesting_depth(text) > max_json_depth) {
        return malformed("the JSON text nests deeper than " + std::to_string(max_json_depth) + " levels");
    }
    try {
        return json::parse(text);
    } catch (const json::exception& ex) {
        return malformed(ex.what());
    }
}

json parse_json_or_discard(std::string_view text) {
    auto parsed = parse_json(text);
    return parsed ? std::move(parsed.value()) : json(json::value_t::discarded);
}

std::string print_json(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<json_member>> split_json_object(std::string_view text) {
    const auto parts = split_container(text, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<json_member> members;
    members.reserve(parts->size());
    for (const auto part : *parts) {
        const auto name_end = part.starts_with('"') ? skip_string(part, 0) : std::string_view::npos;
        if (name_end == std::string_view::npos) {
            return std::nullopt;
        }
        const auto rest = trimmed(part.substr(name_end));
        if (!rest.starts_with(':')) {
            return std::nullopt;
        }
        members.push_back({part.substr(1, name_end - 2), trimmed(rest.substr(1))});
    }
    return members;
}

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text) {
    return split_container(text, '[', ']');
}

std::string_view member_text(const std::vector<json_member>& members, std::string_view name) {
    const auto it =
        std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.name == name; });
    return it == members.end() ? std::string_view{} : it->value;
}

const json* find_field(const json& object, std::string_view name) {
    if (!object.is_object()) {
        return nullptr;
    }
    const auto it = object.find(name);
    return it == object.end() ? nullptr : &*it;
}

result<void> read_field(const json& object, std::string_view name, std::string& out) {
    const auto* it = find_field(object, name);
    if (it == nullptr || !it->is_string()) {
        return wrong_field(name, "a string");
    }
    out = it->get_ref<const std::string&>();
    return success();
}

result<void> read_field(const json& object, std::string_view name, bool& out) {
    const auto* it = find_field(object, name);
    if (it == nullptr || !it->is_boolean()) {
        return wrong_field(name, "true or false");
    }
    out = it->get<bool>();
    return success();
}

result<void> read_field(const json& object, std::string_view name, double& out,
                        number_range<double> allowed) {
    const auto* it = find_field(object, name);
    const double value = it != nullptr && it->is_number() ? it->get<double>() : 0;
    if (it == nullptr || !it->is_number() || value < allowed.min || value > allowed.max) {
        return wrong_field(name, "a number from " + std::to_string(allowed.min) + " to " +
                                     std::to_string(allowed.max));
    }
    out = value;
    return success();
}

result<void> read_field(const json& object, std::string_view name, std::uint64_t& out,
                        number_range<std::uint64_t> allowed) {
    const auto* it = find_field(object, name);
    // Integers past 64 bits are parsed as floating-point numbers.
    const bool integer = it != nullptr && it->is_number_integer() &&
                         (it->is_number_unsigned() || it->get<std::int64_t>() >= 0);
    const auto value = integer ? it->get<std::uint64_t>() : 0;
    if (!integer || value < allowed.min || value > allowed.max) {
        return wrong_field(name, "an integer from " + std::to_string(allowed.min) + " to " +
                                     std::to_string(allowed.max));
    }
    out = value;
    return success();
}

result<const json*> read_object(const json& object, std::string_view name) {
    return read_container(object, name, json::value_t::object);
}

result<const json*> read_array(const json& object, std::string_view name) {
    return read_container(object, name, json::value_t::array);
}

} // namespace baobabswitch
