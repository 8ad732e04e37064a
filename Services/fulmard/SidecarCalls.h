#pragma once

#include <LibDecision/Effect.h>
#include <LibDecision/Input.h>
#include <LibModel/Settings.h>
#include <LibTransport/HttpClient.h>
#include <Services/fulmard/Observability.h>
#include <Services/fulmard/SidecarReply.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Fulmard {

using namespace Model;

using InputSink = std::function<void(Decision::Input)>;

// The requests that this process handles for its backend servers: carries them there and back for the core.
class SidecarCalls {
public:
    SidecarCalls(Transport::HttpClient&, Observability&, InstanceId self, const LimitSettings&, EdgeSettings, std::shared_ptr<Transport::MemoryBudget>, InputSink);

    // Takes a request from an ingress, which may be this process, with the traceparent of its attempt. The handler is
    // called once, unless cancelled. Gives the name of the request, which is that of an earlier one if this is the same.
    SidecarCallId arrive(const Control::RunOrder&, std::shared_ptr<const Transport::HttpRequest>, std::string_view traceparent, SidecarReplyHandler);
    // The ingress no longer waits.
    void cancel(SidecarCallId);

    void carryOut(const Decision::RunCall&);
    void carryOut(const Decision::CancelRun&);
    void carryOut(const Decision::AnswerSidecarCall&);
    void carryOut(const Decision::ReplaySidecarCall&);
    void carryOut(const Decision::RebindSidecarCall&);
    void carryOut(const Decision::RedirectSidecarCall&);
    void carryOut(const Decision::RefuseSidecarCall&);
    void carryOut(const Decision::KeepAnswer&);
    void carryOut(const Decision::ForgetAnswer&);

    bool isInFlight(SidecarCallId id) const { return m_calls.contains(id); }
    size_t inFlight() const { return m_calls.size(); }
    size_t keptAnswers() const { return m_keptAnswers.size(); }

private:
    struct Call {
        std::shared_ptr<const Transport::HttpRequest> request;
        RequestId requestId;
        SidecarReplyHandler handler;
        bool isHandlerGone { false };
        Transport::ClientRequestId run { 0 };
        Transport::HttpResponse answer;
        std::unique_ptr<opentracing::Span> span;
        // From arrival until the request goes to the backend server or is refused.
        std::unique_ptr<opentracing::Span> queueSpan;
        std::unique_ptr<opentracing::Span> runSpan;
    };

    Transport::HttpRequest makeBackendRequest(const Call&, const Decision::RunCall&) const;
    void finishRun(SidecarCallId, Transport::ClientResult);
    void reply(SidecarCallId, SidecarReply);

    Transport::HttpClient& m_client;
    Observability& m_observability;
    InstanceId m_self;
    uint64_t m_maximumAnswerBytes;
    EdgeSettings m_edge;
    std::shared_ptr<Transport::MemoryBudget> m_memory;
    InputSink m_sink;
    SidecarCallId m_lastId;
    std::unordered_map<SidecarCallId, Call> m_calls;
    std::unordered_map<SidecarCallId, Transport::HttpResponse> m_keptAnswers;
    // Calls that turned out, while they arrived, to be earlier ones.
    std::unordered_map<SidecarCallId, SidecarCallId> m_adopted;
};

}
