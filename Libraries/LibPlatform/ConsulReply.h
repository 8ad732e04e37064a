#pragma once

#include <LibDecision/PlatformOperation.h>
#include <LibTransport/HttpMessage.h>

namespace Platform {

using namespace Decision;

// Reads the answer of Consul's HTTP API to an operation. The status is NoAnswer if the answer doesn't tell
// what became of the operation. The tag is left to the caller.
PlatformReply readConsulReply(const PlatformOperation&, const Transport::HttpResponse&);

}
