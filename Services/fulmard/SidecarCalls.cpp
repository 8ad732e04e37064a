#include <Services/fulmard/SidecarCalls.h>

#include <Services/fulmard/ClientOutcome.h>
#include <Services/fulmard/ProblemDetails.h>
#include <Services/fulmard/RequestReader.h>

#include <algorithm>

namespace Fulmard {

namespace {

    // Headers between processes and to callers, which a backend server's answer must not bring along.
    constexpr std::string_view ownHeaderPrefix = "fulmar-";

}

SidecarCalls::SidecarCalls(Transport::HttpClient& client, Observability& observability, InstanceId self, const LimitSettings& limits, EdgeSettings edge, std::shared_ptr<Transport::MemoryBudget> memory, InputSink sink)
    : m_client(client)
    , m_observability(observability)
    , m_self(std::move(self))
    , m_maximumAnswerBytes(limits.answerBodyBytes)
    , m_edge(std::move(edge))
    , m_memory(std::move(memory))
    , m_sink(std::move(sink))
{
}

SidecarCallId SidecarCalls::arrive(const Control::RunOrder& order, std::shared_ptr<const Transport::HttpRequest> request, std::string_view traceparent, SidecarReplyHandler handler)
{
    m_lastId = m_lastId.next();
    auto id = m_lastId;
    Call call;
    call.request = std::move(request);
    call.requestId = order.request.id;
    call.handler = std::move(handler);
    call.span = m_observability.tracer().startSpan("sidecar", traceparent);
    call.span->SetTag("request", call.requestId.value());
    call.span->SetTag("backend", order.backend.value());
    call.queueSpan = m_observability.tracer().startChild("queue", *call.span);
    m_calls.emplace(id, std::move(call));

    Decision::SidecarCallArrived arrived;
    arrived.call = id;
    arrived.backend = order.backend;
    arrived.incarnation = order.backendIncarnation;
    arrived.request = order.request;
    arrived.isIdempotent = order.isIdempotent;
    arrived.latencyObjective = order.latencyObjective;
    arrived.priority = order.priority;
    arrived.longestWait = order.longestWait;
    arrived.isOnlyForFreeSlot = order.isOnlyForFreeSlot;
    arrived.isLastResort = order.isLastResort;
    arrived.arrival = order.arrival;
    arrived.knownLimit = order.knownLimit;
    arrived.isReplayOnly = order.isReplayOnly;
    if (order.attempt.value())
        arrived.key = Decision::RunKey { order.from, order.senderStart, order.attempt };
    arrived.firstSentAgo = order.firstSentAgo;
    arrived.receiverStart = order.receiverStart;
    m_sink(std::move(arrived));
    auto adopted = m_adopted.extract(id);
    return adopted ? adopted.mapped() : id;
}

void SidecarCalls::cancel(SidecarCallId id)
{
    auto call = m_calls.find(id);
    if (call == m_calls.end() || call->second.isHandlerGone)
        return;
    call->second.isHandlerGone = true;
    bool isRunning = call->second.run != 0;
    if (!isRunning)
        m_calls.erase(call);
    m_sink(Decision::SidecarCallCancelled { id });
}

Transport::HttpRequest SidecarCalls::makeBackendRequest(const Call& call, const Decision::RunCall& effect) const
{
    auto request = Transport::withoutBody(*call.request);
    Transport::removeHopByHopHeaders(request.headers);
    std::erase_if(request.headers, [](const Transport::HttpHeader& header) { return header.name == "fulmar-run" || header.name == "content-length"; });
    auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(effect.remaining).count();
    Transport::setHeader(request.headers, m_edge.deadline, std::to_string(milliseconds));
    Transport::setHeader(request.headers, m_edge.requestId, call.requestId.value());
    if (!m_edge.expectedBackend.empty())
        Transport::setHeader(request.headers, m_edge.expectedBackend, effect.backend.value());
    request.headers.push_back({ "via", "1.1 " + m_self.value() });
    Transport::setHeader(request.headers, "traceparent", Telemetry::JsonLinesTracer::traceparentOf(*call.runSpan));
    return request;
}

void SidecarCalls::carryOut(const Decision::RunCall& effect)
{
    auto entry = m_calls.find(effect.call);
    if (entry == m_calls.end()) {
        // The ingress cancelled in the meantime; nothing was sent.
        m_sink(Decision::RunFinished { effect.call, { Decision::AttemptResult::NotSent, 0, Reason::CallerGone } });
        return;
    }

    auto& call = entry->second;
    call.queueSpan->Finish();
    call.runSpan = m_observability.tracer().startChild("backend", *call.span);
    Transport::ClientRequest request;
    request.to = effect.endpoint;
    request.request = makeBackendRequest(call, effect);
    request.bodyOf = call.request;
    request.deadline = effect.remaining;
    request.progressTimeout = effect.progressTimeout;
    request.needsProvenConnection = effect.needsProvenConnection;
    request.maximumConnections = effect.maximumConnections;
    request.idleConnectionTimeout = effect.idleConnectionTimeout;
    request.maximumAnswerBytes = m_maximumAnswerBytes;
    call.run = m_client.send(std::move(request), [this, id = effect.call](Transport::ClientResult result) { finishRun(id, std::move(result)); });
}

void SidecarCalls::finishRun(SidecarCallId id, Transport::ClientResult result)
{
    auto& call = m_calls.at(id);
    call.run = 0;
    auto report = runReportOf(result, m_edge, call.requestId);
    call.runSpan->SetTag("result", std::string(nameOf(report.result)));
    call.runSpan->Finish();
    m_observability.metrics().observe(Telemetry::Timing::Run, report.elapsed);
    call.answer = std::move(result.response);
    std::erase_if(call.answer.headers, [](const Transport::HttpHeader& header) { return header.name.starts_with(ownHeaderPrefix); });
    m_sink(Decision::RunFinished { id, report });
    // The core answers nobody for a cancelled request; it may have had its answer kept.
    auto entry = m_calls.find(id);
    if (entry != m_calls.end() && entry->second.isHandlerGone)
        m_calls.erase(entry);
}

void SidecarCalls::carryOut(const Decision::CancelRun& effect)
{
    auto call = m_calls.find(effect.call);
    if (call == m_calls.end())
        return;
    if (call->second.run)
        m_client.cancel(call->second.run);
    m_calls.erase(call);
    // The core counts the slot as taken until it hears of the run's end.
    m_sink(Decision::RunFinished { effect.call, { Decision::AttemptResult::Cancelled, 0, Reason::CallerGone } });
}

void SidecarCalls::carryOut(const Decision::AnswerSidecarCall& effect)
{
    SidecarReply answer;
    answer.result.outcome = Outcome::Answered;
    answer.result.serviceTime = effect.serviceTime;
    answer.result.load = effect.load;
    answer.response = m_calls.at(effect.call).answer;
    reply(effect.call, std::move(answer));
}

void SidecarCalls::carryOut(const Decision::ReplaySidecarCall& effect)
{
    auto kept = m_keptAnswers.find(effect.keptAnswer);
    SidecarReply answer;
    answer.result.load = effect.load;
    if (kept == m_keptAnswers.end()) {
        answer.result.outcome = Outcome::Unknown;
        answer.result.reason = Reason::KeyOutcomeUnknown;
        answer.result.step = "replay";
        answer.result.peer = m_self.value();
    } else {
        answer.response = kept->second;
        answer.response.reservation = Transport::reserveHeld(m_memory, Transport::MemoryKind::Answers, answer.response.body.size());
    }
    reply(effect.call, std::move(answer));
}

void SidecarCalls::carryOut(const Decision::RebindSidecarCall& effect)
{
    auto later = m_calls.extract(effect.call);
    auto runningCall = m_calls.find(effect.runningCall);
    if (later.empty() || runningCall == m_calls.end())
        return;
    later.mapped().span->SetTag("adopts", effect.runningCall.value());
    runningCall->second.handler = std::move(later.mapped().handler);
    runningCall->second.isHandlerGone = false;
    m_adopted[effect.call] = effect.runningCall;
}

void SidecarCalls::carryOut(const Decision::RedirectSidecarCall& effect)
{
    SidecarReply answer;
    answer.result.outcome = Outcome::Unknown;
    answer.result.reason = Reason::KeyOutcomeUnknown;
    answer.result.step = "claim";
    answer.result.peer = effect.outcomeKeeper.value();
    answer.result.outcomeKeeper = effect.outcomeKeeper;
    reply(effect.call, std::move(answer));
}

void SidecarCalls::carryOut(const Decision::RefuseSidecarCall& effect)
{
    SidecarReply answer;
    answer.result.outcome = effect.outcome;
    answer.result.reason = effect.reason;
    answer.result.step = effect.step;
    answer.result.peer = effect.peer;
    answer.result.load = effect.load;
    reply(effect.call, std::move(answer));
}

void SidecarCalls::carryOut(const Decision::KeepAnswer& effect)
{
    auto call = m_calls.find(effect.call);
    if (call == m_calls.end())
        return;
    // Without room it isn't kept, and whoever asks for it is told that the outcome is unknown.
    auto reservation = Transport::tryReserve(m_memory, Transport::MemoryKind::Kept, call->second.answer.body.size());
    if (!reservation)
        return;
    auto& kept = m_keptAnswers[effect.call];
    kept = call->second.answer;
    kept.reservation = std::move(reservation);
}

void SidecarCalls::carryOut(const Decision::ForgetAnswer& effect)
{
    m_keptAnswers.erase(effect.call);
}

void SidecarCalls::reply(SidecarCallId id, SidecarReply answer)
{
    auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    if (call->second.run)
        m_client.cancel(call->second.run);
    call->second.span->SetTag("outcome", std::string(nameOf(answer.result.outcome)));
    auto handler = std::move(call->second.handler);
    bool isHandlerGone = call->second.isHandlerGone;
    m_calls.erase(call);
    if (!isHandlerGone)
        handler(std::move(answer));
}

}
