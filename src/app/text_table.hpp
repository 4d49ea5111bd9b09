#pragma once

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Rows of cells, written with the columns aligned.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { m_rows.push_back(std::move(header)); }

    /// Adds a row; it may have fewer cells than the header.
    void add(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }

    /// Whether there is no row below the header.
    [[nodiscard]] bool empty() const noexcept { return m_rows.size() == 1; }

    /// Writes the table, each line behind two blanks and no blanks at its end.
    [[nodiscard]] std::string write() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace acaciaslip::app
