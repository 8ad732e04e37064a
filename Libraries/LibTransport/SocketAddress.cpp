#include <LibTransport/SocketAddress.h>

#include <LibModel/Error.h>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>

namespace Transport {

SocketAddress toSocketAddress(const Endpoint& endpoint)
{
    SocketAddress address;
    auto& v4 = reinterpret_cast<sockaddr_in&>(address.storage);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(endpoint.port);
        address.length = sizeof(v4);
        return address;
    }

    auto& v6 = reinterpret_cast<sockaddr_in6&>(address.storage);
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(endpoint.port);
        address.length = sizeof(v6);
        return address;
    }
    throw Error("read address", endpoint.toString(), "\"" + endpoint.address + "\" is no IP number");
}

Endpoint toEndpoint(const SocketAddress& address)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.storage.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address.storage);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return { text.data(), ntohs(v4.sin_port) };
    }
    if (address.storage.ss_family == AF_INET6) {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address.storage);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return { text.data(), ntohs(v6.sin6_port) };
    }
    return {};
}

}
