#pragma once

#include <LibTransport/AnswerReader.h>
#include <LibTransport/ClientConnection.h>
#include <LibTransport/HttpClient.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace Transport {

// One request and its answer on one connection.
class ClientExchange {
public:
    // The request must outlive the exchange. The callback tells that the exchange has ended; it may be called
    // from within begin().
    ClientExchange(EventLoop&, const ClientRequest&, std::unique_ptr<ClientConnection>, std::shared_ptr<MemoryBudget>, std::function<void()> onEnd);
    ~ClientExchange();
    ClientExchange(const ClientExchange&) = delete;
    ClientExchange& operator=(const ClientExchange&) = delete;

    void begin();
    // Closes the connection and ends the exchange with the status, or with NotSent if nothing was sent.
    void abort(ClientStatus, std::string error);

    // When bytes last moved in either direction, as far as the kernel tells.
    Instant lastProgress();

    bool isSent() const { return m_isSent; }
    bool wasFresh() const { return m_wasFresh; }
    uint64_t bytesSent() const { return m_bytesSent; }
    uint64_t bytesReceived() const { return m_bytesReceived; }
    ClientResult takeResult() { return std::move(m_result); }

    // Whether the connection may carry another request.
    bool isConnectionReusable() const { return m_isReusable; }
    std::unique_ptr<ClientConnection> takeConnection() { return std::move(m_connection); }

private:
    void sendRequest();
    const std::string& body() const { return m_request.bodyOf ? m_request.bodyOf->body : m_request.request.body; }
    void readOn();
    void onReadable(const char* error);
    void pauseReading();
    void resumeReading();
    void end(ClientStatus, std::string error);

    EventLoop& m_loop;
    const ClientRequest& m_request;
    std::unique_ptr<ClientConnection> m_connection;
    std::function<void()> m_onEnd;
    AnswerReader m_reader;
    std::shared_ptr<Reservation> m_reservation;
    TimerId m_resumeTimer { 0 };
    Instant m_pausedAt;
    std::string m_head;
    std::array<h2o_iovec_t, 2> m_buffers {};
    ClientResult m_result;
    Instant m_lastProgress;
    uint64_t m_acknowledgedBytes { 0 };
    uint64_t m_bytesSent { 0 };
    uint64_t m_bytesReceived { 0 };
    bool m_wasFresh;
    bool m_isSent { false };
    bool m_isWritten { false };
    bool m_isEnded { false };
    bool m_isReusable { false };
};

}
