#include <Services/fulmard/IngressCalls.h>

#include <LibControl/Digest.h>
#include <Services/fulmard/BearerKey.h>
#include <Services/fulmard/ClientOutcome.h>

#include <algorithm>

namespace Fulmard {

using Decision::AttemptReport;
using Decision::AttemptResult;

namespace {

    // The sidecar notices a silent backend server connection after the progress timeout and answers then,
    // so the ingress waits longer for its own connection to the sidecar.
    constexpr int sidecarPatienceFactor = 2;
    constexpr uint32_t connectionsPerSidecar = 256;
    constexpr auto sidecarIdleTimeout = std::chrono::seconds(60);

    AttemptResult resultOf(const Control::RunResult& result)
    {
        if (!result.outcomeKeeper.isEmpty())
            return AttemptResult::Redirected;
        switch (result.outcome) {
        case Outcome::Answered:
            return AttemptResult::Answered;
        case Outcome::NotRun:
            return AttemptResult::RefusedNotRun;
        case Outcome::Unknown:
            return AttemptResult::OutcomeUnknown;
        }
        return AttemptResult::OutcomeUnknown;
    }

    AttemptReport reportOf(const Control::RunResult& result, uint16_t status)
    {
        AttemptReport report;
        report.result = resultOf(result);
        report.status = report.result == AttemptResult::Answered ? status : 0;
        report.reason = result.reason;
        report.serviceTime = result.serviceTime;
        report.hasLoad = true;
        report.load = result.load;
        report.outcomeKeeper = result.outcomeKeeper;
        return report;
    }

    // Gives what the answer of another process means. An answer without a readable result may come from anything.
    AttemptReport reportOfRemote(const Transport::ClientResult& result, bool isForwarded)
    {
        AttemptReport report;
        report.result = attemptResultOf(result.status);
        report.reason = result.status == Transport::ClientStatus::NoMemory ? Reason::Overloaded : Reason::None;
        if (result.status == Transport::ClientStatus::Answered) {
            try {
                auto header = Transport::findHeader(result.response.headers, "fulmar-sidecar");
                report = reportOf(Control::decodeRunResult(header.value_or("")), result.response.status);
            } catch (const Control::ControlError&) {
                report.result = AttemptResult::Malformed;
            }
        }
        // A process that couldn't forward the order, or of an earlier version, says nothing about the sidecar.
        bool isFromForwarder = report.result == AttemptResult::Malformed || report.reason == Reason::BadRequest;
        if (isForwarded && isFromForwarder)
            report = { .result = AttemptResult::ConnectionLost, .reason = Reason::AnswerCut };
        report.elapsed = result.elapsed;
        return report;
    }

    void addForwardingHeaders(Transport::HttpRequest& request, const InstanceId& self)
    {
        // https://www.rfc-editor.org/rfc/rfc7239
        auto address = request.peerAddress.find(':') == std::string::npos ? request.peerAddress : "\"[" + request.peerAddress + "]\"";
        auto forwarded = "for=" + address + ";by=_" + self.value() + ";proto=http";
        auto existing = std::ranges::find(request.headers, "forwarded", &Transport::HttpHeader::name);
        if (existing != request.headers.end())
            existing->value += ", " + forwarded;
        else
            request.headers.push_back({ "forwarded", forwarded });
    }

}

IngressCalls::IngressCalls(Parties parties)
    : m_parties(std::move(parties))
{
}

void IngressCalls::arrive(Transport::ServerRequestId serverRequest, Transport::HttpRequest request)
{
    auto keyDigest = takeIdentity(request);
    RequestInfo info;
    try {
        info = m_parties.reader.read(request, !keyDigest.empty());
    } catch (const BadRequestError& error) {
        m_parties.respond(serverRequest, makeProblemResponse({ Outcome::NotRun, Reason::BadRequest, "read-request", error.what(), Duration::zero(), "" }, m_parties.edge.statuses));
        return;
    }

    Transport::removeHopByHopHeaders(request.headers);
    std::erase_if(request.headers, [](const Transport::HttpHeader& header) { return header.name == "fulmar-run" || header.name == "content-length"; });
    addForwardingHeaders(request, m_parties.self);
    if (!m_parties.edge.callerService.empty())
        Transport::setHeader(request.headers, m_parties.edge.callerService, m_parties.callerService.value());

    auto authority = request.authority;
    m_lastId = m_lastId.next();
    m_callsByServerRequest.emplace(serverRequest, m_lastId);
    auto span = m_parties.observability.tracer().startSpan("ingress", Transport::findHeader(request.headers, "traceparent").value_or(""));
    span->SetTag("request", info.id.value());
    span->SetTag("service", info.service.value());
    auto shared = std::make_shared<Transport::HttpRequest>(std::move(request));
    m_calls.emplace(m_lastId, Call { serverRequest, info, std::move(shared), m_parties.now(), std::move(span), {} });
    m_parties.sink(Decision::CallArrived { m_lastId, std::move(info), authority, std::nullopt, std::move(keyDigest) });
}

std::string IngressCalls::takeIdentity(Transport::HttpRequest& request) const
{
    if (!m_parties.hasTenants())
        return {};
    auto key = findBearerKey(request.headers);
    auto digest = key ? Control::sha256(*key) : std::string();
    std::erase_if(request.headers, [this](const Transport::HttpHeader& header) {
        return header.name == authorizationHeader || (!m_parties.edge.tenant.empty() && header.name == m_parties.edge.tenant);
    });
    return digest;
}

void IngressCalls::callerGone(Transport::ServerRequestId serverRequest)
{
    auto entry = m_callsByServerRequest.find(serverRequest);
    if (entry == m_callsByServerRequest.end())
        return;
    auto id = entry->second;
    m_callsByServerRequest.erase(entry);

    for (auto& [attemptId, attempt] : m_calls.at(id).attempts)
        cancel(attempt);
    m_calls.erase(id);
    m_parties.sink(Decision::CallerDisconnected { id });
}

Control::RunOrder IngressCalls::makeOrder(const Call& call, const Decision::ForwardCall& effect) const
{
    Control::RunOrder order;
    order.to = effect.sidecarControl;
    order.from = m_parties.self;
    order.backend = effect.backend;
    order.backendIncarnation = effect.incarnation;
    order.request = call.info;
    order.request.parent = effect.parent;
    order.request.account = effect.account;
    order.request.fingerprint = effect.fingerprint;
    order.request.remaining = effect.remaining;
    order.isIdempotent = effect.isIdempotent;
    order.latencyObjective = effect.latencyObjective;
    order.priority = effect.priority;
    order.longestWait = effect.longestWait;
    order.isOnlyForFreeSlot = effect.isOnlyForFreeSlot;
    order.isLastResort = effect.isLastResort;
    order.arrival = effect.arrival;
    order.knownLimit = effect.knownLimit;
    order.isReplayOnly = effect.isReplayOnly;
    if (effect.requiresDeduplication) {
        order.attempt = effect.attempt;
        order.receiverStart = effect.receiverStart;
    }
    order.firstSentAgo = effect.firstSentAgo;
    return order;
}

void IngressCalls::carryOut(const Decision::ForwardCall& effect)
{
    auto call = m_calls.find(effect.call);
    if (call == m_calls.end())
        return;
    auto order = makeOrder(call->second, effect);
    if (effect.isFromTenant && !m_parties.edge.tenant.empty())
        Transport::setHeader(call->second.request->headers, m_parties.edge.tenant, effect.account.value());
    auto& attempt = call->second.attempts[effect.attempt];
    // An order that is sent again replaces the one on the connection in doubt. Sidecars rely on this connection being closed
    // before: see SidecarAdmission::mayHaveRunBefore().
    cancel(attempt);
    attempt.sidecar = effect.sidecar;
    attempt.startedAt = m_parties.now();
    attempt.span = m_parties.observability.tracer().startChild("attempt", *call->second.span);
    attempt.span->SetTag("number", uint64_t(effect.attemptNumber));
    attempt.span->SetTag("sidecar", effect.sidecar.value());
    attempt.span->SetTag("backend", effect.backend.value());
    if (effect.sidecar == m_parties.self)
        sendLocal(call->second, attempt, effect, order);
    else
        sendRemote(call->second, attempt, effect, order);
}

void IngressCalls::sendLocal(const Call& call, Attempt& attempt, const Decision::ForwardCall& effect, const Control::RunOrder& order)
{
    auto handler = [this, id = effect.call, attemptId = effect.attempt](SidecarReply reply) { finishLocal(id, attemptId, std::move(reply)); };
    auto traceparent = Telemetry::JsonLinesTracer::traceparentOf(*attempt.span);
    attempt.local = m_parties.sidecarCalls.arrive(order, call.request, traceparent, std::move(handler));
}

void IngressCalls::sendRemote(const Call& call, Attempt& attempt, const Decision::ForwardCall& effect, const Control::RunOrder& order)
{
    Transport::ClientRequest request;
    bool isForwarded = !effect.forwarder.isEmpty();
    request.to = isForwarded ? effect.forwarderControl : effect.sidecarControl;
    request.request = Transport::withoutBody(*call.request);
    request.bodyOf = call.request;
    if (m_parties.observability.tracer().mustPropagate(*attempt.span))
        Transport::setHeader(request.request.headers, "traceparent", Telemetry::JsonLinesTracer::traceparentOf(*attempt.span));
    request.request.headers.push_back({ "fulmar-run", m_parties.orders.seal(order) });
    request.deadline = effect.remaining;
    request.progressTimeout = effect.progressTimeout * sidecarPatienceFactor;
    request.needsProvenConnection = !effect.isIdempotent;
    request.needsNewConnection = effect.firstSentAgo > Duration::zero();
    request.maximumConnections = connectionsPerSidecar;
    request.idleConnectionTimeout = sidecarIdleTimeout;
    request.maximumAnswerBytes = m_parties.maximumAnswerBytes;
    auto handler = [this, id = effect.call, attemptId = effect.attempt, isForwarded](Transport::ClientResult result) { finishRemote(id, attemptId, std::move(result), isForwarded); };
    attempt.remote = m_parties.client.send(std::move(request), std::move(handler));
}

void IngressCalls::finishLocal(CallId id, AttemptId attempt, SidecarReply reply)
{
    auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    auto report = reportOf(reply.result, reply.response.status);
    report.elapsed = m_parties.now() - call->second.attempts.at(attempt).startedAt;
    finish(id, attempt, report, std::move(reply.response));
}

void IngressCalls::finishRemote(CallId id, AttemptId attempt, Transport::ClientResult result, bool isForwarded)
{
    auto report = reportOfRemote(result, isForwarded);
    finish(id, attempt, report, std::move(result.response));
}

void IngressCalls::finish(CallId id, AttemptId attemptId, AttemptReport report, Transport::HttpResponse response)
{
    auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    auto& attempt = call->second.attempts.at(attemptId);
    attempt.remote = 0;
    attempt.local = {};
    attempt.answer = std::move(response);
    attempt.span->SetTag("result", std::string(nameOf(report.result)));
    attempt.span->Finish();
    auto& metrics = m_parties.observability.metrics();
    metrics.countAttempt(report.result);
    metrics.observe(Telemetry::Timing::Attempt, report.elapsed);
    m_parties.sink(Decision::AttemptFinished { id, attemptId, report, attempt.sidecar });
}

void IngressCalls::cancel(Attempt& attempt)
{
    if (attempt.remote)
        m_parties.client.cancel(attempt.remote);
    if (attempt.local.value())
        m_parties.sidecarCalls.cancel(attempt.local);
    attempt.remote = 0;
    attempt.local = {};
}

void IngressCalls::carryOut(const Decision::CancelAttempt& effect)
{
    auto call = m_calls.find(effect.call);
    if (call == m_calls.end())
        return;
    auto attempt = call->second.attempts.find(effect.attempt);
    if (attempt != call->second.attempts.end())
        cancel(attempt->second);
}

void IngressCalls::carryOut(const Decision::AnswerCall& effect)
{
    auto call = m_calls.find(effect.call);
    if (call == m_calls.end())
        return;
    auto response = std::move(call->second.attempts.at(effect.attempt).answer);
    Transport::removeHopByHopHeaders(response.headers);
    std::erase_if(response.headers, [](const Transport::HttpHeader& header) { return header.name.starts_with("fulmar-") || header.name == "content-length"; });
    response.headers.push_back({ HeaderName::outcome, std::string(nameOf(Outcome::Answered)) });
    Transport::setHeader(response.headers, m_parties.edge.requestId, call->second.info.id.value());
    response.headers.push_back({ "via", "1.1 " + m_parties.self.value() });
    respond(effect.call, Outcome::Answered, Reason::None, std::move(response));
}

void IngressCalls::carryOut(const Decision::RefuseCall& effect)
{
    auto call = m_calls.find(effect.call);
    if (call == m_calls.end())
        return;
    auto requestId = call->second.info.id.value();
    respond(effect.call, effect.outcome, effect.reason, makeProblemResponse({ effect.outcome, effect.reason, effect.step, effect.peer, effect.retryAfter, requestId }, m_parties.edge.statuses));
}

void IngressCalls::respond(CallId id, Outcome outcome, Reason reason, Transport::HttpResponse response)
{
    auto call = m_calls.extract(id);
    for (auto& [attemptId, attempt] : call.mapped().attempts)
        cancel(attempt);
    call.mapped().span->SetTag("outcome", std::string(nameOf(outcome)));
    call.mapped().span->SetTag("status", uint64_t(response.status));
    call.mapped().span->Finish();
    auto& metrics = m_parties.observability.metrics();
    metrics.countOutcome(outcome, reason);
    metrics.observe(Telemetry::Timing::Request, m_parties.now() - call.mapped().arrivedAt);
    m_callsByServerRequest.erase(call.mapped().serverRequest);
    m_parties.respond(call.mapped().serverRequest, std::move(response));
}

}
