#pragma once

#include <LibModel/Backend.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <Tests/StandIns/RunLedger.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace StandIns {

using namespace Model;

struct StandInBackendSettings {
    BackendId id { "backend-1" };
    ServiceName service { "commission-desk" };
    ProfileName profile { "default" };
    Endpoint listen { "127.0.0.1", 0 };
    // Control endpoint of the process to announce itself to; not announced if nothing.
    std::optional<Endpoint> control;
    Incarnation incarnation { 1 };
    uint32_t slots { 3 };
    double weight { 1.0 };
    // Service times are log-normal around this mean.
    Duration meanServiceTime { 25ms };
    // Standard deviation of the service time's logarithm; 0 makes all alike.
    double spread { 0.3 };
    uint64_t seed { 1 };
    // An announcement holds for this long; it is renewed each third of it.
    Duration lapse { 5s };
    // How long it announces itself as warming after its start, and serves at a third of its speed.
    Duration coldStart { 0 };
    // Text that callers' secrets contain. Requests that carry it are listed in the ledger; nothing is looked for if empty.
    std::string secretMarker;
    // How long it goes on serving after it announced that it drains.
    Duration drainTime { 3s };
};

// A request with this header gets an answer that is longer by that many bytes.
constexpr auto answerBytesHeader = "standin-answer-bytes";
// Names one send of a request, in the ledger too. Unlike the fleet's id it is known to callers that got no answer.
constexpr auto sendIdHeader = "standin-send-id";
// Carries the name of the tenant; the settings of processes have to name it.
constexpr auto tenantHeader = "tenant";

// Everything that can be wrong with a backend server while its /health stays fine. POST /fault takes these as
// JSON with the names in the comments; what a POST leaves out is as before any fault.
struct BackendFaults {
    double slowFactor { 1 }; // "slow_factor"
    bool isStuck { false }; // "stuck": runs requests but never answers
    double errorShare { 0 }; // "error_share": 500 after a run
    double cutShare { 0 }; // "cut_share": answers half after a run
    double wrongShare { 0 }; // "wrong_share": gives the answer to another request
    double shedShare { 0 }; // "shed_share": 503 with "fulmar-outcome: not-run", and doesn't run it
    bool silencesConnections { false }; // "silent": connections open now get nothing more; new ones work
    Duration flapPeriod { 0 }; // "flap_period_ms": faults hold in every other half of this period
    std::string crashMarker; // "crash_marker": a body that contains it crashes the backend server
    Duration crashTime { 2s }; // "crash_down_ms": how long it is gone then
};

// Gives nothing if the text is no JSON object, or a value has the wrong type.
std::optional<BackendFaults> parseFaults(const std::string& text);

// An HTTP/1.1 backend server with slots. Each answer is JSON with "request_id", "body_hash", "backend" and
// "target" of the request that it belongs to. GET /health, GET /ledger and POST /fault are its own.
class StandInBackend {
public:
    StandInBackend(Transport::EventLoop&, StandInBackendSettings);
    ~StandInBackend();
    StandInBackend(const StandInBackend&) = delete;
    StandInBackend& operator=(const StandInBackend&) = delete;

    Endpoint endpoint() const { return m_endpoint; }
    const RunLedger& ledger() const { return m_ledger; }
    BackendPhase phase() const { return m_phase; }
    uint32_t running() const { return m_running; }
    Incarnation incarnation() const { return m_settings.incarnation; }

    void setFaults(BackendFaults);
    // Announces that it leaves, serves on for the drain time, finishes what is in flight, and then calls back.
    void drain(std::function<void()> onDone);

private:
    struct Call {
        Transport::HttpRequest request;
        std::string requestId;
        Transport::TimerId timer { 0 };
        bool isRunning { false };
    };

    void start();
    void handle(Transport::ServerRequestId, Transport::HttpRequest);
    void handleOwn(Transport::ServerRequestId, const Transport::HttpRequest&);
    void enqueue(Transport::ServerRequestId, Transport::HttpRequest);
    void startQueued();
    void run(Transport::ServerRequestId, Call&);
    void recordRun(const std::string& requestId, const Transport::HttpRequest&);
    bool carriesSecret(const Transport::HttpRequest&) const;
    void finish(Transport::ServerRequestId);
    void gone(Transport::ServerRequestId);
    void crash();
    void restart();
    Transport::HttpResponse answerFor(const Call&, const std::string& requestId) const;
    Duration serviceTime();
    BackendFaults activeFaults() const;
    bool happens(double share);

    void announce();
    void announceGone();
    Transport::ClientRequest announcement(const std::string& method) const;
    void finishDrain();

    Transport::EventLoop& m_loop;
    StandInBackendSettings m_settings;
    Transport::HttpClient m_client;
    std::unique_ptr<Transport::HttpServer> m_server;
    Endpoint m_endpoint;
    RunLedger m_ledger;
    BackendFaults m_faults;
    Instant m_faultsSince {};
    Instant m_startedAt {};
    BackendPhase m_phase { BackendPhase::Warming };
    std::mt19937_64 m_random;
    std::unordered_map<Transport::ServerRequestId, Call> m_calls;
    std::deque<Transport::ServerRequestId> m_queue;
    uint32_t m_running { 0 };
    uint64_t m_generatedIds { 0 };
    std::string m_previousRequestId { "none" };
    // Ports of peers whose connections are open, as far as known, and of those that went silent.
    std::set<uint16_t> m_knownPorts;
    std::set<uint16_t> m_silentPorts;
    std::unordered_map<Transport::ServerRequestId, uint16_t> m_lostRequests;
    Transport::TimerId m_announceTimer { 0 };
    Transport::TimerId m_lifeTimer { 0 };
    Transport::TimerId m_warmTimer { 0 };
    uint32_t m_announcementsInFlight { 0 };
    std::function<void()> m_onDrained;
};

}
