#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace baobabswitch {

enum class output_format { table, json };

/// Rows of text under a heading.
struct text_table {
    std::vector<std::string> heading;
    std::vector<std::vector<std::string>> rows;
};

/// Writes a table with aligned columns. Control characters in cells are replaced, since the texts may come
/// from other operators.
void write_table(std::ostream& out, const text_table& table);

} // namespace baobabswitch
