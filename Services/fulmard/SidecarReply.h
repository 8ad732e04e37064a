#pragma once

#include <LibControl/RunEnvelope.h>
#include <LibTransport/HttpMessage.h>

#include <functional>

namespace Fulmard {

// What a sidecar gives an ingress at the end of a request. The response counts if the outcome is Answered.
struct SidecarReply {
    Control::RunResult result;
    Transport::HttpResponse response;
};

using SidecarReplyHandler = std::function<void(SidecarReply)>;

}
