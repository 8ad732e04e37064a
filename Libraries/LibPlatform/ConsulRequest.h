#pragma once

#include <LibDecision/PlatformOperation.h>
#include <LibTransport/HttpMessage.h>

namespace Platform {

using namespace Decision;

// Writes an operation as a request of Consul's HTTP API.
// https://developer.hashicorp.com/consul/api-docs/kv and https://developer.hashicorp.com/consul/api-docs/session
Transport::HttpRequest formatConsulRequest(const PlatformOperation&);

// Says whether the operation changes nothing, so that it may be sent again after its reply was lost.
bool isRead(const PlatformOperation&);

// How long the service may take to answer by the operation's own nature: the wait of a watch, else zero.
Duration expectedWait(const PlatformOperation&);

}
