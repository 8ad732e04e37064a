#pragma once

#include <LibControl/RunEnvelope.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>

#include <functional>
#include <unordered_map>

namespace Fulmard {

// Run orders of other processes that this one forwards to the sidecars that they are addressed to, because the sender got no
// answer on its own connection. Orders and answers pass unchanged: they are signed for their receivers, and nothing is
// remembered here once the connection of either side ends.
class ForwardedOrders {
public:
    using Respond = std::function<void(Transport::ServerRequestId, Transport::HttpResponse)>;

    ForwardedOrders(Transport::HttpClient&, uint64_t maximumAnswerBytes, Respond);

    void forward(Transport::ServerRequestId, const Control::RunOrder&, Transport::HttpRequest);
    // Closes the connection to the sidecar; the run continues there.
    void senderGone(Transport::ServerRequestId);
    // Orders that were forwarded so far.
    uint64_t total() const { return m_total; }

private:
    // Forwarding must not take the connections that a process needs for its own requests.
    static constexpr size_t maximumInFlight = 64;

    void finish(Transport::ServerRequestId, Transport::ClientResult);

    Transport::HttpClient& m_client;
    uint64_t m_maximumAnswerBytes;
    Respond m_respond;
    std::unordered_map<Transport::ServerRequestId, Transport::ClientRequestId> m_forwarded;
    uint64_t m_total { 0 };
};

}
