#pragma once

#include "LoadPlan.h"
#include "LoadRecord.h"
#include "TenantPublisher.h"

#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>

#include <functional>
#include <random>
#include <vector>

namespace Load {

// Sends the planned load open-loop and records what the callers were told.
class LoadRunner {
public:
    // Without a publisher, requests carry no API keys.
    LoadRunner(Transport::EventLoop&, Transport::HttpClient&, LoadPlan, TenantPublisher*);

    // Calls back once after the last request came to its end.
    void start(std::function<void()> onDone);

    const std::vector<RequestRecord>& requests() const { return m_requests; }

private:
    struct Sending {
        size_t index { 0 };
        std::string service;
        std::string account;
        // Sent in each request; empty without tenants.
        std::string apiKey;
        bool isPublic { false };
        uint32_t sent { 0 };
        std::string sendId;
        Instant sentAt {};
    };

    void scheduleNext();
    void sendNew();
    RequestKind chooseKind();
    void send(Sending);
    void addIdentity(Sending&, RequestKind);
    Transport::ClientRequest makeRequest(const Sending&);
    std::string bodyOf(const RequestRecord&);
    void finish(Sending, const Transport::ClientResult&);
    void finishOne();
    template <typename Element>
    const Element& pick(const std::vector<Element>&);

    Transport::EventLoop& m_loop;
    Transport::HttpClient& m_client;
    LoadPlan m_plan;
    TenantPublisher* m_publisher;
    std::mt19937_64 m_random;
    Instant m_startedAt;
    Instant m_nextAt;
    std::vector<RequestRecord> m_requests;
    size_t m_open { 0 };
    bool m_isOver { false };
    std::function<void()> m_onDone;
};

// Says what an exchange told the caller, and whether its answer is the request's own and whole.
SendRecord readResult(const std::string& requestId, const Transport::ClientResult&);

}
