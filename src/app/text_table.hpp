#pragma once

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Text table with aligned columns.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { m_rows.push_back(std::move(header)); }

    /// Adds a row; it may have fewer cells than the header.
    void add(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }

    /// Returns whether the table has no rows besides the header.
    [[nodiscard]] bool empty() const noexcept { return m_rows.size() == 1; }

    /// Formats the table; each line is indented by two spaces and has no trailing spaces.
    [[nodiscard]] std::string format() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace acaciaslip::app
