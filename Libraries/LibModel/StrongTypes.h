#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Model {

// A string with a meaning of its own, so that an instance name can't be passed where a service name is expected.
template <typename Tag>
class StrongString {
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const StrongString&) const = default;

    friend std::ostream& operator<<(std::ostream& stream, const StrongString& string) { return stream << string.m_value; }

private:
    std::string m_value;
};

// An unsigned 64-bit number with a meaning of its own. The default is zero.
template <typename Tag>
class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(uint64_t value)
        : m_value(value)
    {
    }

    constexpr uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber { m_value + 1 }; }

    constexpr auto operator<=>(const StrongNumber&) const = default;

    friend std::ostream& operator<<(std::ostream& stream, StrongNumber number) { return stream << number.m_value; }

private:
    uint64_t m_value { 0 };
};

}

template <typename Tag>
struct std::hash<Model::StrongString<Tag>> {
    size_t operator()(const Model::StrongString<Tag>& string) const noexcept { return std::hash<std::string> {}(string.value()); }
};

template <typename Tag>
struct std::hash<Model::StrongNumber<Tag>> {
    size_t operator()(Model::StrongNumber<Tag> number) const noexcept { return std::hash<uint64_t> {}(number.value()); }
};
