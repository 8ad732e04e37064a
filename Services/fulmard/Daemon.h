#pragma once

#include <LibControl/ControlChannel.h>
#include <LibControl/RunEnvelope.h>
#include <LibModel/Settings.h>
#include <LibPlatform/PlatformStore.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <Services/fulmard/ForwardedOrders.h>
#include <Services/fulmard/IngressCalls.h>
#include <Services/fulmard/NodeDriver.h>
#include <Services/fulmard/Observability.h>
#include <Services/fulmard/OperatorApi.h>
#include <Services/fulmard/RequestReader.h>
#include <Services/fulmard/SidecarCalls.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Fulmard {

// Carries out an operation of the platform's store, as the concept PlatformStore says.
using StoreFunction = std::function<void(Decision::PlatformTag, const Decision::PlatformOperation&, Platform::PlatformCallback)>;

// How this process meets the platform that it runs on.
struct PlatformInterface {
    // Opens the store on the loop.
    std::function<StoreFunction(Transport::EventLoop&)> openStore;
    // Reads a backend server's announcement of itself from its id and the body. Throws Model::Error.
    std::function<BackendAnnouncement(const std::string&, std::string_view)> readAnnouncement;
    // Gives the highest incarnation that a backend server which withdraws now can have; empty if incarnations tell no time.
    std::function<Incarnation()> latestIncarnation;
};

struct DaemonOptions {
    Settings settings;
    PlatformInterface platform;
    // Must be higher than that of any earlier start of the same instance.
    Incarnation start;
    uint64_t randomSeed { 0 };
    // Called once when the process may exit.
    std::function<void()> onLeft;
    ObservabilityOptions observability;
};

// One fulmard on an event loop: connects the decision core with callers, backend servers, the platform and the fleet.
class Daemon {
public:
    // Throws Model::Error if an endpoint can't be listened on.
    Daemon(Transport::EventLoop&, DaemonOptions);
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void start();
    // Reads the settings again. Those that can be changed without a restart come in force; if they can't be read, the
    // old ones stay.
    void reload(const std::function<Settings()>& read);
    // Logs what would be cut if the process ended now.
    void logUnfinished();
    // Takes no new requests, finishes those in flight and hands over; onLeft follows.
    void leave();

    // The endpoints with the ports in use.
    Endpoint callersEndpoint() const { return m_callersServer.endpoint(); }
    Endpoint controlEndpoint() const { return m_controlServer.endpoint(); }
    const Decision::Node& node() const { return m_driver.node(); }
    Observability& observability() { return m_observability; }

private:
    Transport::HttpServerOptions callersOptions();
    // What all servers have in common. They may have that share of the process's descriptors.
    Transport::HttpServerOptions serverOptions(const Endpoint& listen, double descriptorShare);
    Transport::ServerLimits limitsForCallers() const;
    void logConnectionEnd(const Endpoint& listener, const Transport::ConnectionEnd&);
    void setMemoryMetrics();
    Transport::HttpServerOptions controlOptions();
    void openSideServers();
    Decision::NodeOptions nodeOptions() const;
    IngressCalls::Parties ingressParties();

    void handleControlRequest(Transport::ServerRequestId, Transport::HttpRequest);
    // Answers the platform and the backend server beside this process, which reach listeners of their own.
    Transport::HttpResponse answerSide(const Transport::HttpRequest&);
    Transport::HttpResponse readiness() const;
    void handleRunOrder(Transport::ServerRequestId, Transport::HttpRequest);
    void handleMessage(Transport::ServerRequestId, const Transport::HttpRequest&);
    Transport::HttpResponse answerAnnouncement(const Transport::HttpRequest&);
    Transport::HttpResponse withdraw(const BackendId&, const std::string& peerAddress);
    void handleOperatorCall(Transport::ServerRequestId, const Transport::HttpRequest&);
    void handleControlGone(Transport::ServerRequestId);
    void respondRun(Transport::ServerRequestId, SidecarReply);
    // Sets the gauges and totals that are known elsewhere, and writes all metrics.
    std::string metricsText();
    // Returns 0 if no proof is needed, and -1 if there is none.
    double proofAgeSeconds() const;
    void respondControl(Transport::ServerRequestId, uint16_t status, const std::string& text);

    void carryOut(const Decision::Effect&);
    void carryOut(const Decision::SendMessage&);
    void carryOut(const Decision::ProbeBackend&);
    void carryOut(const Decision::CheckConnection&);
    void carryOut(const Decision::DropConnections&);
    void carryOut(const Decision::CallPlatform&);
    void carryOut(const Decision::RecordDecision&);
    void carryOut(const Decision::Leave&);
    void endWhenDelivered(Instant lingerUntil, Instant end);

    Transport::EventLoop& m_loop;
    DaemonOptions m_options;
    Observability m_observability;
    std::shared_ptr<Transport::MemoryBudget> m_memory;
    Transport::HttpServer m_callersServer;
    Transport::HttpServer m_controlServer;
    // Listeners beside the control endpoint for those who may not reach it.
    std::vector<std::unique_ptr<Transport::HttpServer>> m_sideServers;
    Transport::HttpClient m_client;
    StoreFunction m_store;
    Control::ControlChannel m_channel;
    Control::RunOrderChannel m_orders;
    RequestReader m_reader;
    SidecarCalls m_sidecarCalls;
    IngressCalls m_ingressCalls;
    ForwardedOrders m_forwardedOrders;
    std::unordered_map<Transport::ServerRequestId, SidecarCallId> m_remoteRuns;
    NodeDriver m_driver;
    // Empty until the core is there.
    const Decision::NodeState* m_state { nullptr };
    Instant m_leaveRequestedAt;
    OperatorApi m_operatorApi;
};

}
