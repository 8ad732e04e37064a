#include <LibModel/Endpoint.h>

#include <arpa/inet.h>
#include <charconv>

namespace Model {

static bool isAddressOfFamily(int family, const std::string& address)
{
    in6_addr parsed {};
    return inet_pton(family, address.c_str(), &parsed) == 1;
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    auto host = text.substr(0, colon);
    auto portText = text.substr(colon + 1);
    uint16_t port = 0;
    auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size() || port == 0)
        return std::nullopt;

    bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    std::string address(host);
    if (!isAddressOfFamily(isBracketed ? AF_INET6 : AF_INET, address))
        return std::nullopt;
    return Endpoint { address, port };
}

std::string Endpoint::toString() const
{
    if (address.find(':') != std::string::npos)
        return "[" + address + "]:" + std::to_string(port);
    return address + ":" + std::to_string(port);
}

}
