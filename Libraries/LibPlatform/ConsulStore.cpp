#include <LibPlatform/ConsulStore.h>

#include <LibModel/Error.h>
#include <LibPlatform/ConsulReply.h>
#include <LibPlatform/ConsulRequest.h>

#include <utility>

namespace Platform {

using namespace Transport;

// Values of a megabyte arrive as base64 text, and a prefix holds several.
static constexpr uint64_t maximumAnswerBytes = 32u << 20;

ConsulStore::ConsulStore(EventLoop& loop, ConsulStoreSettings settings)
    : m_settings(std::move(settings))
    , m_client(loop, { .probesConnections = true })
{
    if (m_settings.endpoints.empty())
        throw Error("open the platform's store", "local", "no endpoint is given");
}

ConsulStore::~ConsulStore() = default;

void ConsulStore::execute(PlatformTag tag, const PlatformOperation& operation, PlatformCallback callback)
{
    ++m_counters.operations;
    attempt({ tag, operation, std::move(callback), 0 });
}

void ConsulStore::attempt(Call call)
{
    auto endpoint = m_settings.endpoints[m_current];
    ++call.tries;
    ClientRequest request;
    request.to = endpoint;
    request.request = formatConsulRequest(call.operation);
    request.deadline = m_settings.timeout + expectedWait(call.operation);
    request.maximumConnections = m_settings.maximumConnections;
    request.maximumAnswerBytes = maximumAnswerBytes;
    // A write that is lost with an old connection would stay unknown.
    request.needsProvenConnection = !isRead(call.operation);
    m_client.send(std::move(request), [this, endpoint, call = std::move(call)](const ClientResult& result) mutable {
        answered(std::move(call), endpoint, result);
    });
}

void ConsulStore::answered(Call call, const Endpoint& endpoint, const ClientResult& result)
{
    PlatformReply reply;
    if (result.status == ClientStatus::Answered)
        reply = readConsulReply(call.operation, result.response);
    if (reply.status != PlatformStatus::NoAnswer) {
        finish(std::move(call), std::move(reply));
        return;
    }

    // What made this connection useless has probably struck the others as well.
    if (result.status == ClientStatus::Cut || result.status == ClientStatus::TimedOut)
        m_client.dropConnections(endpoint);
    m_lastError = endpoint.toString() + ": " + (result.error.empty() ? "unusable answer with status " + std::to_string(result.response.status) : result.error);
    if (m_settings.endpoints[m_current] == endpoint)
        m_current = (m_current + 1) % m_settings.endpoints.size();
    bool mayRepeat = isRead(call.operation) || result.status == ClientStatus::NotSent;
    if (mayRepeat && call.tries < m_settings.endpoints.size()) {
        ++m_counters.failovers;
        attempt(std::move(call));
        return;
    }
    finish(std::move(call), std::move(reply));
}

void ConsulStore::finish(Call call, PlatformReply reply)
{
    if (reply.status == PlatformStatus::NoAnswer) {
        ++m_counters.withoutAnswer;
        reply.problem = m_lastError;
    }
    if (reply.status == PlatformStatus::Refused)
        ++m_counters.refusals;
    reply.tag = call.tag;
    call.callback(std::move(reply));
}

}
