#include "LoadRunner.h"

#include <Tests/StandIns/Json.h>
#include <Tests/StandIns/StandInBackend.h>

#include <algorithm>

namespace Load {

using Transport::ClientResult;
using Transport::ClientStatus;

namespace {

    constexpr uint32_t connectionsPerEndpoint = 4096;
    constexpr Duration graceForAnswers = std::chrono::seconds(1);

    std::string makeId(uint64_t seed, size_t index)
    {
        return "load-" + std::to_string(seed) + "-" + std::to_string(index);
    }

    std::string_view headerOr(const ClientResult& result, std::string_view name, std::string_view fallback)
    {
        return Transport::findHeader(result.response.headers, name).value_or(fallback);
    }

    Told toldBy(const ClientResult& result)
    {
        if (result.status == ClientStatus::NotSent)
            return Told::NotRun;
        if (result.status != ClientStatus::Answered)
            return Told::Nothing;
        return enumFromName<Told>(headerOr(result, "fulmar-outcome", "nothing")).value_or(Told::Nothing);
    }

}

SendRecord readResult(const std::string& requestId, const ClientResult& result)
{
    SendRecord record;
    record.told = toldBy(result);
    record.elapsed = result.elapsed;
    record.status = result.status == ClientStatus::Answered ? result.response.status : 0;
    record.reason = headerOr(result, "fulmar-reason", nameOf(result.status));
    record.fleetRequestId = headerOr(result, "fulmar-request-id", "");
    auto body = StandIns::parseObject(result.response.body);
    record.isWholeAnswer = body && body->isMember("body_hash");
    record.isOwnAnswer = !body || (*body)["target"].asString().ends_with("/" + requestId);
    return record;
}

LoadRunner::LoadRunner(Transport::EventLoop& loop, Transport::HttpClient& client, LoadPlan plan, TenantPublisher* publisher)
    : m_loop(loop)
    , m_client(client)
    , m_plan(std::move(plan))
    , m_publisher(publisher)
    , m_random(m_plan.seed)
{
}

void LoadRunner::start(std::function<void()> onDone)
{
    m_onDone = std::move(onDone);
    m_startedAt = m_loop.now();
    m_nextAt = m_startedAt;
    scheduleNext();
}

void LoadRunner::scheduleNext()
{
    std::exponential_distribution<double> gap(m_plan.rate);
    m_nextAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
    if (m_nextAt - m_startedAt > m_plan.length) {
        m_isOver = true;
        if (m_open == 0)
            m_onDone();
        return;
    }
    m_loop.callAt(m_nextAt, [this] {
        sendNew();
        scheduleNext();
    });
}

template <typename Element>
const Element& LoadRunner::pick(const std::vector<Element>& elements)
{
    return elements[std::uniform_int_distribution<size_t>(0, elements.size() - 1)(m_random)];
}

RequestKind LoadRunner::chooseKind()
{
    std::discrete_distribution<int> kinds { 1 - m_plan.bookingShare - m_plan.keyedBookingShare - m_plan.directShare - m_plan.uploadShare,
        m_plan.bookingShare, m_plan.keyedBookingShare, m_plan.directShare, m_plan.uploadShare };
    return EnumNames<RequestKind>::entries[kinds(m_random)].value;
}

void LoadRunner::sendNew()
{
    Sending sending;
    sending.index = m_requests.size();
    sending.service = pick(m_plan.services);
    sending.account = "account-" + std::to_string(std::uniform_int_distribution<uint32_t>(1, m_plan.accounts)(m_random));
    auto kind = chooseKind();
    m_requests.push_back({ makeId(m_plan.seed, sending.index), kind, {} });
    if (m_publisher && kind != RequestKind::Direct)
        addIdentity(sending, kind);
    ++m_open;
    send(std::move(sending));
}

void LoadRunner::addIdentity(Sending& sending, RequestKind kind)
{
    sending.apiKey = m_publisher->chooseKey();
    sending.isPublic = kind == RequestKind::Lookup && std::bernoulli_distribution(m_plan.publicShare)(m_random);
}

std::string LoadRunner::bodyOf(const RequestRecord& request)
{
    // Bodies of uploads as the platform describes them.
    constexpr double meanUploadBytes = 60'000;
    constexpr double mostUploadBytes = 360'000;
    std::string body = "{\"booking\":\"" + request.id + "\"}";
    if (request.kind == RequestKind::Upload)
        body.resize(body.size() + static_cast<size_t>(std::min(mostUploadBytes, std::exponential_distribution<double>(1 / meanUploadBytes)(m_random))), 'x');
    return body;
}

Transport::ClientRequest LoadRunner::makeRequest(const Sending& sending)
{
    const auto& record = m_requests[sending.index];
    Transport::ClientRequest request;
    request.to = record.kind == RequestKind::Direct ? pick(m_plan.backends) : pick(m_plan.ingresses);
    request.deadline = m_plan.deadline + graceForAnswers;
    request.maximumConnections = connectionsPerEndpoint;

    auto& http = request.request;
    bool isLookup = record.kind == RequestKind::Lookup || record.kind == RequestKind::Direct;
    http.method = isLookup ? "GET" : "POST";
    std::string path = record.kind == RequestKind::Upload ? "/upload/" : isLookup ? "/lookup/"
                                                                                  : "/book/";
    http.target = (sending.isPublic ? "/open/" : path) + record.id;
    http.authority = sending.service;
    http.headers = { { "fulmar-account", sending.account }, { "x-load-id", record.id },
        { "fulmar-deadline-ms", std::to_string(std::chrono::floor<std::chrono::milliseconds>(m_plan.deadline).count()) } };
    if (!isLookup)
        http.body = bodyOf(record);
    if (!sending.sendId.empty())
        http.headers.push_back({ StandIns::sendIdHeader, sending.sendId });
    if (!sending.apiKey.empty()) {
        http.headers.push_back({ "authorization", "Bearer " + sending.apiKey });
        // A name that callers choose themselves must not reach a backend server.
        http.headers.push_back({ StandIns::tenantHeader, "forged" });
    }
    if (record.kind == RequestKind::KeyedBooking)
        http.headers.push_back({ "idempotency-key", "\"" + record.id + "\"" });
    return request;
}

void LoadRunner::send(Sending sending)
{
    ++sending.sent;
    sending.sendId = m_requests[sending.index].id + "." + std::to_string(sending.sent);
    sending.sentAt = m_loop.now();
    auto request = makeRequest(sending);
    m_client.send(std::move(request), [this, sending = std::move(sending)](const ClientResult& result) { finish(sending, result); });
}

void LoadRunner::finish(Sending sending, const ClientResult& result)
{
    auto& request = m_requests[sending.index];
    request.sends.push_back(readResult(request.id, result));
    request.sends.back().sendId = sending.sendId;
    request.sends.back().key = sending.isPublic ? "" : sending.apiKey;
    request.sends.back().sentAt = sending.sentAt;
    bool isResent = request.kind == RequestKind::KeyedBooking && request.sends.back().told != Told::Answered && sending.sent <= m_plan.resends;
    if (!isResent) {
        finishOne();
        return;
    }
    m_loop.callAt(m_loop.now() + m_plan.resendDelay, [this, sending = std::move(sending)] { send(sending); });
}

void LoadRunner::finishOne()
{
    --m_open;
    if (m_isOver && m_open == 0)
        m_onDone();
}

}
