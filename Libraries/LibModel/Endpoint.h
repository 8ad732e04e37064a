#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Model {

// An IP number and a port. Names are never resolved.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default; // NOLINT(modernize-use-nullptr)

    // Reads "127.0.0.1:80" or "[::1]:80". Gives nothing if the address is no IP number or the port is 0.
    static std::optional<Endpoint> parse(std::string_view);
    std::string toString() const;
};

}
