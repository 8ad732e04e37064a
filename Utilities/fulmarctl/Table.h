#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace FulmarCtl {

// Rows of text, printed in columns that are as wide as their longest cell.
class Table {
public:
    explicit Table(std::vector<std::string> headings);

    // The row must have as many cells as there are headings.
    void add(std::vector<std::string> row);
    void print(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
