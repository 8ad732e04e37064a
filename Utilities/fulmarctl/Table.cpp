#include <Utilities/fulmarctl/Table.h>

#include <algorithm>

namespace FulmarCtl {

Table::Table(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void Table::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void Table::print(std::ostream& stream) const
{
    std::vector<size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t column = 0; column < row.size(); ++column)
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        stream << line << "\n";
    }
}

}
