#include "output.h"

#include <algorithm>
#include <ostream>

namespace baobabswitch {

namespace {

constexpr std::size_t column_gap = 2;

std::string replace_control_characters(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](unsigned char it) { return it < ' ' || it == 0x7f; }, '?');
    return text;
}

/// Returns the number of code points of a UTF-8 text.
std::size_t code_point_count(const std::string& text) {
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](unsigned char it) { return (it & 0xc0U) != 0x80U; }));
}

void write_row(std::ostream& out, const std::vector<std::string>& row,
               const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
        const auto cell = replace_control_characters(row.at(n));
        line += cell;
        if (n + 1 < row.size()) {
            line.append(widths.at(n) - code_point_count(cell) + column_gap, ' ');
        }
    }
    out << line << '\n';
}

} // namespace

void write_table(std::ostream& out, const text_table& table) {
    std::vector<std::size_t> widths(table.heading.size());
    const auto update_widths = [&](const std::vector<std::string>& row) {
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths.at(n) = std::max(widths.at(n), code_point_count(row.at(n)));
        }
    };
    update_widths(table.heading);
    std::for_each(table.rows.begin(), table.rows.end(), update_widths);
    write_row(out, table.heading, widths);
    for (const auto& it : table.rows) {
        write_row(out, it, widths);
    }
}

} // namespace baobabswitch
