#include "app/text_table.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace acaciaslip::app {

std::string text_table::format() const
{
    std::vector<std::size_t> widths;
    for (const auto& row : m_rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += fmt::format("  {:<{}}", row[column], widths[column]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace acaciaslip::app
