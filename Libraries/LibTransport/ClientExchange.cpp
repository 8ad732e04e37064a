#include <LibTransport/ClientExchange.h>

#include <LibTransport/RequestText.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <utility>

namespace Transport {

// How often an exchange that waits for memory asks for it.
static constexpr Duration memoryPoll = 20ms;
// Answers that don't fit hold what they have while they wait, so that two of them may wait for each other. Backend servers
// cut off an answer that stays unread for some seconds.
static constexpr Duration longestMemoryWait = 3s;

ClientExchange::ClientExchange(EventLoop& loop, const ClientRequest& request, std::unique_ptr<ClientConnection> connection, std::shared_ptr<MemoryBudget> memory, std::function<void()> onEnd)
    : m_loop(loop)
    , m_request(request)
    , m_connection(std::move(connection))
    , m_onEnd(std::move(onEnd))
    , m_reader(request.request.method == "HEAD", request.maximumAnswerBytes)
    , m_reservation(std::make_shared<Reservation>(std::move(memory), MemoryKind::Answers))
    , m_lastProgress(loop.now())
    , m_wasFresh(!m_connection->isConnected())
{
}

ClientExchange::~ClientExchange() { m_loop.cancelTimer(m_resumeTimer); }

void ClientExchange::begin()
{
    try {
        m_head = formatRequestHead(m_request.request, m_request.to, body().size());
    } catch (const Error& error) {
        m_isReusable = m_connection->isConnected();
        end(ClientStatus::NotSent, error.what());
        return;
    }
    if (m_connection->isConnected()) {
        sendRequest();
        return;
    }

    bool hasBegun = m_connection->connect([this](const char* error) {
        if (error) {
            abort(ClientStatus::NotSent, error);
            return;
        }
        sendRequest();
    });
    if (!hasBegun)
        end(ClientStatus::NotSent, "can't open a connection");
}

void ClientExchange::sendRequest()
{
    const auto& body = this->body();
    m_isSent = true;
    m_lastProgress = m_loop.now();
    m_acknowledgedBytes = m_connection->acknowledged().bytes;
    m_bytesSent = m_head.size() + body.size();
    m_buffers = { h2o_iovec_init(m_head.data(), m_head.size()), h2o_iovec_init(body.data(), body.size()) };
    readOn();
    // An error is left to reading, since the peer may have answered before it closed.
    m_connection->write(std::span(m_buffers).first(body.empty() ? 1 : 2), [this](const char* error) { m_isWritten = !error; });
}

void ClientExchange::onReadable(const char* error)
{
    m_lastProgress = m_loop.now();
    m_bytesReceived += m_connection->newBytes();
    m_connection->consume(m_reader.read(m_connection->input()));
    switch (m_reader.state()) {
    case AnswerState::Whole:
        // It may have come at once, and nobody may read it for long.
        if (m_reader.neededBytes() > smallReservation && !m_reservation->resize(m_reader.neededBytes())) {
            end(ClientStatus::NoMemory, "there is no memory for the answer");
            return;
        }
        m_isReusable = m_reader.isPersistent() && m_isWritten && !error && m_connection->input().empty();
        end(ClientStatus::Answered, {});
        return;
    case AnswerState::Broken:
        end(ClientStatus::Malformed, m_reader.problem());
        return;
    case AnswerState::Incomplete:
        if (error)
            end(ClientStatus::Cut, error);
        else if (!m_reservation->resize(m_reader.neededBytes()))
            pauseReading();
        return;
    }
}

void ClientExchange::readOn()
{
    m_connection->startReading([this](const char* error) { onReadable(error); });
}

void ClientExchange::pauseReading()
{
    m_connection->stopReading();
    m_pausedAt = m_loop.now();
    m_resumeTimer = m_loop.callAt(m_pausedAt + memoryPoll, [this] { resumeReading(); });
}

void ClientExchange::resumeReading()
{
    auto now = m_loop.now();
    // It is this process that doesn't read, so the peer isn't silent.
    m_lastProgress = now;
    if (m_reservation->resize(m_reader.neededBytes()))
        readOn();
    else if (now - m_pausedAt > longestMemoryWait)
        abort(ClientStatus::NoMemory, "there is no memory for the answer");
    else
        m_resumeTimer = m_loop.callAt(now + memoryPoll, [this] { resumeReading(); });
}

void ClientExchange::abort(ClientStatus status, std::string error)
{
    if (!m_isEnded)
        end(m_isSent ? status : ClientStatus::NotSent, std::move(error));
}

void ClientExchange::end(ClientStatus status, std::string error)
{
    m_isEnded = true;
    m_loop.cancelTimer(m_resumeTimer);
    m_connection->stopReading();
    if (!m_isReusable)
        m_connection->close();
    m_result.status = status;
    m_result.error = std::move(error);
    m_result.wasFreshConnection = m_wasFresh;
    if (status == ClientStatus::Answered) {
        m_result.response = m_reader.takeResponse();
        m_reservation->force(m_result.response.body.size());
        m_result.response.reservation = std::move(m_reservation);
    }
    m_onEnd();
}

// Reading tells by itself; how far a request was sent, the kernel knows.
Instant ClientExchange::lastProgress()
{
    if (!m_isSent || m_isEnded)
        return m_lastProgress;
    auto acknowledged = m_connection->acknowledged();
    if (acknowledged.bytes != std::exchange(m_acknowledgedBytes, acknowledged.bytes))
        m_lastProgress = std::max(m_lastProgress, m_loop.now() - acknowledged.age);
    return m_lastProgress;
}

}
