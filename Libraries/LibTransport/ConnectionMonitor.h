#pragma once

#include <LibTransport/H2O.h>
#include <LibTransport/Http2Frames.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/MemoryBudget.h>
#include <LibTransport/RequestHead.h>
#include <LibTransport/ServerLimits.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Transport {

struct ServerConnection;

// What a server keeps of one connection to bound its memory and time.
struct ConnectionState {
    ConnectionState(const std::shared_ptr<MemoryBudget>& budget, std::string peerAddress, Instant now)
        : address(std::move(peerAddress))
        , phaseSince(now)
        , lastProgress(now)
        , held(budget, MemoryKind::Arriving)
    {
    }

    std::string address;
    // The library's own reader of the socket, which ours calls.
    h2o_socket_cb libraryRead { nullptr };
    ConnectionPhase phase { ConnectionPhase::Idle };
    Instant phaseSince;
    Instant lastProgress;
    // Bytes that moved in this phase.
    uint64_t movedBytes { 0 };
    uint64_t acknowledgedBytes { 0 };
    // Bytes of requests that aren't handed over yet.
    Reservation held;
    bool isHttp2 { false };
    std::optional<RequestHead> head;
    size_t searchedBytes { 0 };
    Http2Frames frames;
    size_t waitingExchanges { 0 };
    size_t writingExchanges { 0 };
    uint64_t unsentBytes { 0 };
    // Closed by this side; the library hasn't noticed yet.
    bool isEnding { false };
};

// Bounds what the connections of one server hold, and how long they take. The library buffers requests by itself, so this
// reads along: it takes the place of the library's reader of each socket, reserves bytes for what came and what was
// announced, and has the library refuse what doesn't fit. Connections without progress are closed when others need room.
class ConnectionMonitor {
public:
    explicit ConnectionMonitor(HttpServer::Implementation&);
    ~ConnectionMonitor();
    ConnectionMonitor(const ConnectionMonitor&) = delete;
    ConnectionMonitor& operator=(const ConnectionMonitor&) = delete;

    void connectionOpened(ServerConnection&);
    void connectionClosed(ServerConnection&);
    // The library has handed over a whole request, whose body it no longer needs.
    void requestHanded(ServerConnection&, uint64_t bodyBytes);
    void answerBegun(ServerConnection&, uint64_t bytes);
    // The exchange is over. The connection may be closed by now.
    void exchangeEnded(uint64_t connectionKey, bool wasAnswered, uint64_t bytes);

    // Whether the limit of connections is reached.
    bool isFull() const;
    // Whether another connection may be taken, after others have made room for it if need be.
    bool hasRoom();
    // Whether the library refuses the body at hand because it doesn't fit into the memory budget.
    bool isRefusing() const { return m_isRefusing; }
    const ServerLimits& limits() const { return m_limits; }
    const std::array<uint64_t, EnumNames<ConnectionEndReason>::entries.size()>& ends() const { return m_ends; }

private:
    enum class Verdict {
        Take,
        Refuse,
        Close,
    };

    static void onReadable(h2o_socket_t*, const char* error);
    void readable(ServerConnection&, const char* error);
    Verdict judge(ServerConnection&);
    Verdict judgeHead(ServerConnection&);
    Verdict judgeHttp2(ServerConnection&);
    bool isHeadTooLong(const ServerConnection&) const;
    void callLibrary(ServerConnection&, const char* error);
    void refreshHeld(ServerConnection&);
    void insertReader(ServerConnection&);
    void insertReaderLater(uint64_t connectionKey);
    void judgeUnseen(ServerConnection&);
    void updatePhase(ServerConnection&);

    void end(ServerConnection&, ConnectionEndReason);
    static void refuseUnread(const ServerConnection&, ConnectionEndReason);
    void report(const ServerConnection&, ConnectionEndReason);
    void sweep();
    void noteAcknowledged(ServerConnection&);
    std::optional<ConnectionEndReason> overdue(ServerConnection&);
    void applyLimits(const ServerLimits&);

    double score(ServerConnection&);
    double highestScore();
    void shedConnections(size_t count);

    HttpServer::Implementation& m_server;
    ServerLimits m_limits;
    std::array<uint64_t, EnumNames<ConnectionEndReason>::entries.size()> m_ends {};
    std::map<std::string, size_t> m_connectionsByAddress;
    std::vector<uint64_t> m_withoutReader;
    TimerId m_readerTimer { 0 };
    TimerId m_sweepTimer { 0 };
    uint64_t m_shedder { 0 };
    // The holder that highestScore() found, and when a search last found none.
    uint64_t m_highestKey { 0 };
    std::optional<Instant> m_nothingFoundAt;
    // The connection whose bytes are being judged, which isn't closed for its own sake.
    uint64_t m_judgedKey { 0 };
    bool m_isRefusing { false };
};

}
