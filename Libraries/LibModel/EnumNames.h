#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace Model {

template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

// Clang 14 deduces no arguments of aggregate templates by itself.
template <typename Enum>
EnumName(Enum, std::string_view) -> EnumName<Enum>;

// The table of an enumeration's names. Specialise it beside the enumeration with a
// `static constexpr std::array entries` of EnumName.
template <typename Enum>
struct EnumNames;

// Gives the name of a value, or "invalid" if the table lacks it.
template <typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    const auto& entries = EnumNames<Enum>::entries;
    auto entry = std::ranges::find(entries, value, &EnumName<Enum>::value);
    return entry == entries.end() ? std::string_view("invalid") : entry->name;
}

// Gives the value of a name, or nothing if the table lacks it.
template <typename Enum>
constexpr std::optional<Enum> enumFromName(std::string_view name)
{
    const auto& entries = EnumNames<Enum>::entries;
    auto entry = std::ranges::find(entries, name, &EnumName<Enum>::name);
    if (entry == entries.end())
        return std::nullopt;
    return entry->value;
}

}
