#pragma once

#include <LibControl/RunEnvelope.h>
#include <LibDecision/Effect.h>
#include <LibDecision/Input.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <Services/fulmard/Observability.h>
#include <Services/fulmard/ProblemDetails.h>
#include <Services/fulmard/RequestReader.h>
#include <Services/fulmard/SidecarCalls.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Fulmard {

// The callers' requests that this process took: carries them to sidecars and answers back for the core.
class IngressCalls {
public:
    using Responder = std::function<void(Transport::ServerRequestId, Transport::HttpResponse)>;

    struct Parties {
        Transport::HttpClient& client;
        SidecarCalls& sidecarCalls;
        Control::RunOrderChannel& orders;
        RequestReader& reader;
        InstanceId self;
        // Answers a caller.
        Responder respond;
        InputSink sink;
        std::function<Instant()> now;
        Observability& observability;
        uint64_t maximumAnswerBytes { 0 };
        EdgeSettings edge;
        // The service beside this process, whose requests come from here.
        ServiceName callerService;
        // Whether there are tenants, so that callers identify themselves with API keys.
        std::function<bool()> hasTenants;
    };

    explicit IngressCalls(Parties);

    void arrive(Transport::ServerRequestId, Transport::HttpRequest);
    void callerGone(Transport::ServerRequestId);

    void carryOut(const Decision::ForwardCall&);
    void carryOut(const Decision::CancelAttempt&);
    void carryOut(const Decision::AnswerCall&);
    void carryOut(const Decision::RefuseCall&);

    size_t inFlight() const { return m_calls.size(); }

private:
    struct Attempt {
        Transport::ClientRequestId remote { 0 };
        SidecarCallId local;
        InstanceId sidecar;
        Instant startedAt;
        Transport::HttpResponse answer;
        std::unique_ptr<opentracing::Span> span;
    };

    struct Call {
        Transport::ServerRequestId serverRequest { 0 };
        RequestInfo info;
        std::shared_ptr<Transport::HttpRequest> request;
        Instant arrivedAt;
        std::unique_ptr<opentracing::Span> span;
        std::unordered_map<AttemptId, Attempt> attempts;
    };

    // Takes the caller's API key and what it says of its identity from the request. Returns the digest of the key; empty
    // if there is none.
    std::string takeIdentity(Transport::HttpRequest&) const;
    Control::RunOrder makeOrder(const Call&, const Decision::ForwardCall&) const;
    void sendLocal(const Call&, Attempt&, const Decision::ForwardCall&, const Control::RunOrder&);
    void sendRemote(const Call&, Attempt&, const Decision::ForwardCall&, const Control::RunOrder&);
    void finishLocal(CallId, AttemptId, SidecarReply);
    void finishRemote(CallId, AttemptId, Transport::ClientResult, bool isForwarded);
    void finish(CallId, AttemptId, Decision::AttemptReport, Transport::HttpResponse);
    void cancel(Attempt&);
    void respond(CallId, Outcome, Reason, Transport::HttpResponse);

    Parties m_parties;
    CallId m_lastId;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<Transport::ServerRequestId, CallId> m_callsByServerRequest;
};

}
