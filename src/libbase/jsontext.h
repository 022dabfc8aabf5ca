#pragma once

#include "errors.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Maximum nesting of JSON text from other processes; every format that the programs read nests less than
/// half as deep.
inline constexpr unsigned max_json_depth = 32;

/// Parses JSON text from another process. Text that nests deeper than max_json_depth is rejected unparsed,
/// since copying and printing a value recurse for each level. Fails with malformed.
result<nlohmann::json> parse_json(std::string_view text);

/// The same for formats whose decoders check each value; text that can't be parsed gives a discarded value,
/// which has no members.
nlohmann::json parse_json_or_discard(std::string_view text);

/// Prints a value on one line. Invalid UTF-8 is replaced instead of throwing.
std::string print_json(const nlohmann::json& value);

/// Member of an object whose value was not parsed.
struct json_member {
    std::string_view name; ///< as written, without unescaping
    std::string_view value;
};

/// Splits the text of an object into its members, or that of an array into its elements, without parsing
/// them, so that one unreadable value does not hide the others. Returns nothing if quotes or brackets do not
/// match.
std::optional<std::vector<json_member>> split_json_object(std::string_view text);
std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);

/// Returns the unparsed value of the first member with a name, or an empty view.
std::string_view member_text(const std::vector<json_member>& members, std::string_view name);

/// Inclusive bounds of a number.
template <class Number>
struct number_range {
    Number min = std::numeric_limits<Number>::lowest();
    Number max = std::numeric_limits<Number>::max();
};

// Each read_field() stores one field of an object in `out`. Fails with malformed, naming the field, if it is
// missing, of another type or out of range; an integer must be written without fraction or exponent.
result<void> read_field(const nlohmann::json& object, std::string_view name, std::string& out);
result<void> read_field(const nlohmann::json& object, std::string_view name, bool& out);
result<void> read_field(const nlohmann::json& object, std::string_view name, double& out,
                        number_range<double> allowed = {});
result<void> read_field(const nlohmann::json& object, std::string_view name, std::uint64_t& out,
                        number_range<std::uint64_t> allowed = {});

template <std::unsigned_integral Integer>
result<void> read_field(const nlohmann::json& object, std::string_view name, Integer& out,
                        number_range<Integer> allowed = {}) {
    std::uint64_t wide = 0;
    BOOST_OUTCOME_TRYV(read_field(object, name, wide, number_range<std::uint64_t>{allowed.min, allowed.max}));
    out = static_cast<Integer>(wide);
    return success();
}

/// Returns a member of an object, or null if there is none or `object` is not an object.
const nlohmann::json* find_field(const nlohmann::json& object, std::string_view name);

/// Returns a member that has to be an object or an array. Fails with malformed.
result<const nlohmann::json*> read_object(const nlohmann::json& object, std::string_view name);
result<const nlohmann::json*> read_array(const nlohmann::json& object, std::string_view name);

} // namespace baobabswitch
