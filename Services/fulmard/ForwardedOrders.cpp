#include <Services/fulmard/ForwardedOrders.h>

#include <Services/fulmard/ProblemDetails.h>

#include <memory>
#include <utility>

namespace Fulmard {

namespace {

    constexpr uint32_t connectionsPerSidecar = 16;
    constexpr uint16_t badGateway = 502;

    // Carries no result of a sidecar, so the sender learns only that this way failed.
    Transport::HttpResponse notForwarded() { return makePlainResponse(badGateway, "not-forwarded"); }

}

ForwardedOrders::ForwardedOrders(Transport::HttpClient& client, uint64_t maximumAnswerBytes, Respond respond)
    : m_client(client)
    , m_maximumAnswerBytes(maximumAnswerBytes)
    , m_respond(std::move(respond))
{
}

void ForwardedOrders::forward(Transport::ServerRequestId id, const Control::RunOrder& order, Transport::HttpRequest request)
{
    if (m_forwarded.size() >= maximumInFlight)
        return m_respond(id, notForwarded());
    ++m_total;
    Transport::removeHopByHopHeaders(request.headers);
    auto whole = std::make_shared<const Transport::HttpRequest>(std::move(request));
    Transport::ClientRequest forwarded;
    forwarded.to = order.to;
    forwarded.request = Transport::withoutBody(*whole);
    forwarded.bodyOf = whole;
    forwarded.deadline = order.request.remaining.value_or(Model::Duration(0));
    forwarded.needsProvenConnection = true;
    forwarded.maximumConnections = connectionsPerSidecar;
    forwarded.maximumAnswerBytes = m_maximumAnswerBytes;
    m_forwarded[id] = m_client.send(std::move(forwarded), [this, id](Transport::ClientResult result) { finish(id, std::move(result)); });
}

void ForwardedOrders::senderGone(Transport::ServerRequestId id)
{
    auto forwarded = m_forwarded.extract(id);
    if (forwarded)
        m_client.cancel(forwarded.mapped());
}

void ForwardedOrders::finish(Transport::ServerRequestId id, Transport::ClientResult result)
{
    m_forwarded.erase(id);
    if (result.status != Transport::ClientStatus::Answered)
        return m_respond(id, notForwarded());
    Transport::removeHopByHopHeaders(result.response.headers);
    m_respond(id, std::move(result.response));
}

}
