#include <Utilities/fulmarctl/LineDiff.h>

#include <algorithm>
#include <vector>

namespace FulmarCtl {

namespace {

    std::vector<std::string_view> splitLines(std::string_view text)
    {
        std::vector<std::string_view> lines;
        while (!text.empty()) {
            auto end = std::min(text.find('\n'), text.size());
            lines.push_back(text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return lines;
    }

    // Lengths of the longest common subsequences of all pairs of suffixes.
    class CommonSuffixTable {
    public:
        CommonSuffixTable(const std::vector<std::string_view>& first, const std::vector<std::string_view>& second)
            : m_width(second.size() + 1)
            , m_lengths((first.size() + 1) * m_width)
        {
            for (size_t row = first.size(); row-- > 0;) {
                for (size_t column = second.size(); column-- > 0;)
                    m_lengths[row * m_width + column] = first[row] == second[column] ? at(row + 1, column + 1) + 1 : std::max(at(row + 1, column), at(row, column + 1));
            }
        }

        size_t at(size_t row, size_t column) const { return m_lengths[row * m_width + column]; }

    private:
        size_t m_width;
        std::vector<size_t> m_lengths;
    };

}

std::string diffLines(std::string_view firstText, std::string_view secondText)
{
    if (firstText == secondText)
        return {};
    auto first = splitLines(firstText);
    auto second = splitLines(secondText);
    CommonSuffixTable common(first, second);
    std::string text;
    size_t row = 0;
    size_t column = 0;
    while (row < first.size() || column < second.size()) {
        bool isSame = row < first.size() && column < second.size() && first[row] == second[column];
        bool isOnlyFirst = !isSame && row < first.size() && (column == second.size() || common.at(row + 1, column) >= common.at(row, column + 1));
        auto line = isSame || isOnlyFirst ? first[row] : second[column];
        text += (isSame ? "  " : isOnlyFirst ? "- "
                                             : "+ ")
            + std::string(line) + "\n";
        row += isSame || isOnlyFirst ? 1 : 0;
        column += isOnlyFirst ? 0 : 1;
    }
    return text;
}

}
