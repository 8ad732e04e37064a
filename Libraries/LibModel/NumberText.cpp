#include <LibModel/NumberText.h>

#include <array>
#include <charconv>

namespace Model {

std::string formatNumber(double number)
{
    std::array<char, 32> buffer {};
    auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return { buffer.data(), end };
}

}
