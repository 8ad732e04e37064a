#pragma once

#include <LibModel/Endpoint.h>

#include <sys/socket.h>

namespace Transport {

using namespace Model;

// An endpoint in the form that the system's socket calls take.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

// Throws Error if the address is no IP number.
SocketAddress toSocketAddress(const Endpoint&);
// Gives an endpoint with an empty address if the family is neither IPv4 nor IPv6.
Endpoint toEndpoint(const SocketAddress&);

}
