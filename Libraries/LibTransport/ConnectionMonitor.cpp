#include <LibTransport/ConnectionMonitor.h>

#include <LibTransport/HttpServerImplementation.h>
#include <LibTransport/SocketBuffer.h>

#include <algorithm>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace Transport {

static constexpr Duration sweepInterval = 1s;
// A connection is closed for room only if it has had time to show progress, and moved less than this. 64 KB/s is a
// twentieth of the slowest link of the platform (10 Mbit/s).
static constexpr Duration shortestTrial = 1s;
static constexpr double fastEnoughBytesPerSecond = 64 << 10;
static constexpr uint64_t leastBytesToShed = 4u << 10;
// A search for holders to close takes time in proportion to the connections, so a vain one isn't repeated at once.
static constexpr Duration searchPause = 50ms;
// Buffers that grow as they are filled are copied to twice their size.
static constexpr uint64_t growthFactor = 2;
// A body whose length is known gets its buffer at once if it is longer than this.
static constexpr uint64_t shortBody = 64u << 10;
// At the limit of connections, this share of them is closed together, so that the search pays.
static constexpr size_t connectionsPerShed = 32;
// Bodies that exceed the limit by less are read whole, so that the refusal leaves the connection as it is, and
// reaches an HTTP/2 peer too: there the library only resets the stream when it refuses a body itself.
static constexpr uint64_t bodyBytesReadBeyondLimit = 1u << 20;
// The library's own timeout counts from a request's first byte to its last, whatever moves meanwhile.
static constexpr std::chrono::milliseconds libraryTimeout = 24h;

static std::string_view inputOf(const ServerConnection& connection)
{
    const auto* input = connection.socket->input;
    return { input->bytes, input->size };
}

static uint64_t unreadBytes(const ServerConnection& connection)
{
    int bytes = 0;
    return ioctl(h2o_socket_get_fd(connection.socket), FIONREAD, &bytes) == 0 ? static_cast<uint64_t>(std::max(bytes, 0)) : 0;
}

static bool hasUnreadBytes(const ServerConnection& connection) { return unreadBytes(connection) > 0; }

static uint64_t http2Bytes(const ServerConnection& connection)
{
    const auto& frames = connection.state.frames;
    return growthFactor * (frames.heldBytes() + connection.socket->input->size) + frames.tableBytes();
}

// What the library keeps of an HTTP/1 request until it is answered: the head, and a body whose pages aren't worth giving back.
static uint64_t unansweredBytes(const ServerConnection& connection)
{
    const auto& state = connection.state;
    if (state.waitingExchanges + state.writingExchanges == 0)
        return 0;
    uint64_t size = connection.socket->input->size;
    auto headBytes = state.head ? state.head->bytes : size;
    auto bodyBytes = size - std::min(size, headBytes);
    return std::min(size, headBytes) + (bodyBytes > shortBody ? 0 : bodyBytes);
}

static std::string_view statusLineOf(ConnectionEndReason reason)
{
    switch (reason) {
    case ConnectionEndReason::HeadTooLong:
        return "431 Request Header Fields Too Large";
    case ConnectionEndReason::HeadTimeout:
    case ConnectionEndReason::BodyStalled:
        return "408 Request Timeout";
    case ConnectionEndReason::MemoryRefused:
    case ConnectionEndReason::MemoryShed:
    case ConnectionEndReason::ConnectionShed:
        return "503 Service Unavailable";
    case ConnectionEndReason::IdleTimeout:
    case ConnectionEndReason::AnswerStalled:
        return {};
    }
    return {};
}

ConnectionMonitor::ConnectionMonitor(HttpServer::Implementation& server)
    : m_server(server)
{
    m_server.config.http1.req_timeout = libraryTimeout.count();
    m_server.config.http2.idle_timeout = libraryTimeout.count();
    // The library would also switch to HTTP/2 on an Upgrade field, or between two requests, without this object's notice.
    m_server.config.http1.upgrade_to_http2 = 0;
    m_limits.bodyBytes = m_server.options.maximumBodyBytes;
    applyLimits(m_limits);
    if (m_server.options.memory)
        m_shedder = m_server.options.memory->addShedder({ [this] { return highestScore(); }, [this] {
                                                             auto entry = m_server.connections.find(m_highestKey);
                                                             if (entry != m_server.connections.end())
                                                                 end(*entry->second, ConnectionEndReason::MemoryShed); } });
    m_sweepTimer = m_server.loop.callAt(m_server.loop.now() + sweepInterval, [this] { sweep(); });
}

ConnectionMonitor::~ConnectionMonitor()
{
    if (m_server.options.memory)
        m_server.options.memory->removeShedder(m_shedder);
    m_server.loop.cancelTimer(m_sweepTimer);
    m_server.loop.cancelTimer(m_readerTimer);
}

void ConnectionMonitor::applyLimits(const ServerLimits& limits)
{
    m_limits = limits;
    m_server.config.max_request_entity_size = limits.bodyBytes + bodyBytesReadBeyondLimit;
}

void ConnectionMonitor::connectionOpened(ServerConnection& connection)
{
    ++m_connectionsByAddress[connection.state.address];
    insertReader(connection);
}

void ConnectionMonitor::connectionClosed(ServerConnection& connection)
{
    auto entry = m_connectionsByAddress.find(connection.state.address);
    if (entry != m_connectionsByAddress.end() && --entry->second == 0)
        m_connectionsByAddress.erase(entry);
}

void ConnectionMonitor::insertReader(ServerConnection& connection)
{
    auto& read = connection.socket->_cb.read;
    if (read && read != onReadable)
        connection.state.libraryRead = std::exchange(read, onReadable);
}

// The library sets its reader anew after this call from within it has returned.
void ConnectionMonitor::insertReaderLater(uint64_t connectionKey)
{
    m_withoutReader.push_back(connectionKey);
    if (m_readerTimer != 0)
        return;
    m_readerTimer = m_server.loop.callAt(m_server.loop.now(), [this] {
        m_readerTimer = 0;
        for (auto key : std::exchange(m_withoutReader, {})) {
            auto entry = m_server.connections.find(key);
            if (entry == m_server.connections.end())
                continue;
            insertReader(*entry->second);
            shrinkEmptyBuffer(entry->second->socket->input);
            // The library drops a request's bytes from its buffer only after the exchange has ended. Until then, a connection that
            // has become idle seems to have part of a head.
            updatePhase(*entry->second);
            judgeUnseen(*entry->second);
        }
    });
}

// Judges the beginning of a request that came together with the one before. The library has begun with it, and refuses it no more.
void ConnectionMonitor::judgeUnseen(ServerConnection& connection)
{
    auto& state = connection.state;
    bool isUnseen = !state.isHttp2 && !state.isEnding && !state.head && state.waitingExchanges + state.writingExchanges == 0 && connection.socket->input->size > 0;
    if (!isUnseen)
        return;
    m_judgedKey = connection.key;
    auto verdict = judge(connection);
    m_judgedKey = 0;
    updatePhase(connection);
    if (verdict != Verdict::Take)
        end(connection, isHeadTooLong(connection) ? ConnectionEndReason::HeadTooLong : ConnectionEndReason::MemoryRefused);
}

void ConnectionMonitor::onReadable(h2o_socket_t* socket, const char* error)
{
    auto& connection = *static_cast<ServerConnection*>(socket->on_close.data);
    connection.server->monitor->readable(connection, error);
}

void ConnectionMonitor::readable(ServerConnection& connection, const char* error)
{
    if (error) {
        callLibrary(connection, error);
        return;
    }
    connection.state.lastProgress = m_server.loop.now();
    connection.state.movedBytes += connection.socket->bytes_read;
    m_judgedKey = connection.key;
    auto verdict = judge(connection);
    m_judgedKey = 0;
    if (verdict != Verdict::Take)
        updatePhase(connection);
    if (verdict == Verdict::Close) {
        end(connection, isHeadTooLong(connection) ? ConnectionEndReason::HeadTooLong : ConnectionEndReason::MemoryRefused);
        return;
    }
    // Below a limit of 0 the library refuses whatever body comes in this call.
    auto limit = std::exchange(m_server.config.max_request_entity_size, verdict == Verdict::Refuse ? 0 : m_server.config.max_request_entity_size);
    m_isRefusing = verdict == Verdict::Refuse;
    if (m_isRefusing)
        report(connection, ConnectionEndReason::MemoryRefused);
    callLibrary(connection, nullptr);
    m_isRefusing = false;
    m_server.config.max_request_entity_size = limit;
}

void ConnectionMonitor::callLibrary(ServerConnection& connection, const char* error)
{
    auto key = connection.key;
    auto sizeBefore = connection.socket->input->size;
    m_server.config.http1.upgrade_to_http2 = connection.state.isHttp2 ? 1 : 0;
    connection.state.libraryRead(connection.socket, error);
    m_server.config.http1.upgrade_to_http2 = 0;
    auto entry = m_server.connections.find(key);
    if (entry == m_server.connections.end())
        return;
    auto& open = *entry->second;
    if (open.state.isHttp2) {
        open.state.frames.consume(sizeBefore - std::min(sizeBefore, open.socket->input->size));
        if (m_isRefusing)
            open.state.frames.refuseLast();
        // Below this number the library hands a request over as soon as it is whole, or answers it by itself.
        if (open.state.waitingExchanges + open.state.writingExchanges < m_server.config.http2.max_concurrent_requests_per_connection)
            open.state.frames.dropWhole();
        shrinkBuffer(open.socket->input);
        refreshHeld(open);
    }
    updatePhase(open);
    insertReader(open);
    // The library pauses its reader while it writes an interim answer.
    if (!open.socket->_cb.read && open.state.waitingExchanges + open.state.writingExchanges == 0)
        insertReaderLater(key);
}

ConnectionMonitor::Verdict ConnectionMonitor::judge(ServerConnection& connection)
{
    auto& state = connection.state;
    state.isHttp2 = state.isHttp2 || inputOf(connection).starts_with("PRI * HTTP/2");
    if (state.isHttp2)
        return judgeHttp2(connection);
    if (!state.head)
        return judgeHead(connection);
    // What was announced is reserved; the rest grows.
    auto size = connection.socket->input->size;
    if (!state.head->isChunked)
        return state.held.bytes() >= size || state.held.resize(size) ? Verdict::Take : Verdict::Close;
    return state.held.resize(growthFactor * size) ? Verdict::Take : Verdict::Refuse;
}

ConnectionMonitor::Verdict ConnectionMonitor::judgeHead(ServerConnection& connection)
{
    auto& state = connection.state;
    auto size = connection.socket->input->size;
    state.head = findRequestHead(inputOf(connection), state.searchedBytes);
    state.searchedBytes = size;
    if (isHeadTooLong(connection))
        return Verdict::Close;
    if (!state.head)
        return state.held.resize(size) ? Verdict::Take : Verdict::Close;
    if (state.head->isChunked)
        return state.held.resize(growthFactor * size) ? Verdict::Take : Verdict::Refuse;
    auto bodyBytes = state.head->contentLength.value_or(0);
    // The library refuses these by itself, or they have nothing to reserve.
    if (bodyBytes == 0 || bodyBytes > m_server.config.max_request_entity_size) {
        state.held.force(size);
        return Verdict::Take;
    }
    if (!state.held.resize(std::max<uint64_t>(size, state.head->bytes + bodyBytes)))
        return Verdict::Refuse;
    if (bodyBytes > shortBody && size < state.head->bytes + bodyBytes)
        h2o_buffer_reserve(&connection.socket->input, state.head->bytes + bodyBytes - size);
    return Verdict::Take;
}

bool ConnectionMonitor::isHeadTooLong(const ServerConnection& connection) const
{
    const auto& head = connection.state.head;
    return (head ? head->bytes : connection.socket->input->size) > m_limits.headBytes;
}

ConnectionMonitor::Verdict ConnectionMonitor::judgeHttp2(ServerConnection& connection)
{
    auto& state = connection.state;
    state.frames.read(inputOf(connection), m_server.config.max_request_entity_size);
    return state.held.resize(http2Bytes(connection)) ? Verdict::Take : Verdict::Refuse;
}

void ConnectionMonitor::refreshHeld(ServerConnection& connection)
{
    auto& state = connection.state;
    state.held.force(state.isHttp2 ? http2Bytes(connection) : unansweredBytes(connection));
}

void ConnectionMonitor::requestHanded(ServerConnection& connection, uint64_t bodyBytes)
{
    auto& state = connection.state;
    ++state.waitingExchanges;
    if (state.isHttp2)
        state.frames.requestHanded(bodyBytes);
    refreshHeld(connection);
    updatePhase(connection);
}

void ConnectionMonitor::answerBegun(ServerConnection& connection, uint64_t bytes)
{
    auto& state = connection.state;
    --state.waitingExchanges;
    ++state.writingExchanges;
    state.unsentBytes += bytes;
    updatePhase(connection);
}

void ConnectionMonitor::exchangeEnded(uint64_t connectionKey, bool wasAnswered, uint64_t bytes)
{
    auto entry = m_server.connections.find(connectionKey);
    if (entry == m_server.connections.end())
        return;
    auto& state = entry->second->state;
    --(wasAnswered ? state.writingExchanges : state.waitingExchanges);
    state.unsentBytes -= std::min(state.unsentBytes, bytes);
    if (!state.isHttp2) {
        state.head.reset();
        state.searchedBytes = 0;
        refreshHeld(*entry->second);
    }
    updatePhase(*entry->second);
    insertReaderLater(connectionKey);
}

static ConnectionPhase phaseOf(const ServerConnection& connection)
{
    const auto& state = connection.state;
    auto isReceiving = state.isHttp2 ? state.frames.heldBytes() > 0 : state.waitingExchanges + state.writingExchanges == 0 && connection.socket->input->size > 0;
    if (isReceiving)
        return state.isHttp2 || state.head ? ConnectionPhase::Body : ConnectionPhase::Head;
    if (state.writingExchanges > 0)
        return ConnectionPhase::Writing;
    return state.waitingExchanges > 0 ? ConnectionPhase::Waiting : ConnectionPhase::Idle;
}

void ConnectionMonitor::updatePhase(ServerConnection& connection)
{
    auto& state = connection.state;
    auto phase = phaseOf(connection);
    if (std::exchange(state.phase, phase) == phase)
        return;
    state.phaseSince = state.lastProgress = m_server.loop.now();
    state.movedBytes = 0;
    if (phase == ConnectionPhase::Writing)
        noteAcknowledged(connection);
    state.movedBytes = 0;
}

// How far an answer has come, the peer's kernel tells.
void ConnectionMonitor::noteAcknowledged(ServerConnection& connection)
{
    tcp_info information {};
    socklen_t length = sizeof(information);
    if (getsockopt(h2o_socket_get_fd(connection.socket), IPPROTO_TCP, TCP_INFO, &information, &length) != 0)
        return;
    auto& state = connection.state;
    auto moved = information.tcpi_bytes_acked - std::exchange(state.acknowledgedBytes, information.tcpi_bytes_acked);
    state.movedBytes += moved;
    if (moved > 0)
        state.lastProgress = m_server.loop.now();
}

void ConnectionMonitor::end(ServerConnection& connection, ConnectionEndReason reason)
{
    if (std::exchange(connection.state.isEnding, true))
        return;
    report(connection, reason);
    refuseUnread(connection, reason);
    // An answer that is being written ends with an error on the loop's next round, and its memory with it.
    m_server.releaseUnsent(connection);
    shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
    insertReader(connection);
    if (connection.socket->_cb.read)
        callLibrary(connection, h2o_socket_error_closed);
}

// Tells an HTTP/1 caller whose request wasn't read whole that it wasn't run. Best effort: it may not be reading.
void ConnectionMonitor::refuseUnread(const ServerConnection& connection, ConnectionEndReason reason)
{
    const auto& state = connection.state;
    bool isUnread = state.phase == ConnectionPhase::Head || state.phase == ConnectionPhase::Body;
    auto line = statusLineOf(reason);
    if (state.isHttp2 || !isUnread || line.empty())
        return;
    auto text = "HTTP/1.1 " + std::string(line) + "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    send(h2o_socket_get_fd(connection.socket), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void ConnectionMonitor::report(const ServerConnection& connection, ConnectionEndReason reason)
{
    const auto& state = connection.state;
    ++m_ends[static_cast<size_t>(reason)];
    if (!m_server.hasOwner || !m_server.options.onConnectionEnd)
        return;
    std::string account(state.head ? headField(inputOf(connection).substr(0, state.head->bytes), m_server.options.accountHeader) : std::string_view {});
    ConnectionEnd end { reason, state.phase, state.address, std::move(account), state.held.bytes() + state.unsentBytes };
    m_server.loop.m_implementation->protect([&] { m_server.options.onConnectionEnd(end); });
}

std::optional<ConnectionEndReason> ConnectionMonitor::overdue(ServerConnection& connection)
{
    auto& state = connection.state;
    auto now = m_server.loop.now();
    switch (state.phase) {
    case ConnectionPhase::Idle:
        return now - state.phaseSince > m_limits.idleTimeout ? std::optional(ConnectionEndReason::IdleTimeout) : std::nullopt;
    case ConnectionPhase::Head:
        return now - state.phaseSince > m_limits.headTimeout ? std::optional(ConnectionEndReason::HeadTimeout) : std::nullopt;
    case ConnectionPhase::Body:
        return now - state.lastProgress > m_limits.stallTimeout ? std::optional(ConnectionEndReason::BodyStalled) : std::nullopt;
    case ConnectionPhase::Waiting:
        return std::nullopt;
    case ConnectionPhase::Writing:
        noteAcknowledged(connection);
        return now - state.lastProgress > m_limits.stallTimeout ? std::optional(ConnectionEndReason::AnswerStalled) : std::nullopt;
    }
    return std::nullopt;
}

void ConnectionMonitor::sweep()
{
    m_sweepTimer = m_server.loop.callAt(m_server.loop.now() + sweepInterval, [this] { sweep(); });
    if (m_server.hasOwner && m_server.options.limits) {
        auto limits = m_server.options.limits();
        if (limits != m_limits)
            applyLimits(limits);
    }
    std::vector<std::pair<uint64_t, ConnectionEndReason>> ends;
    for (const auto& [key, connection] : m_server.connections) {
        insertReader(*connection);
        auto reason = overdue(*connection);
        // After a pause of this process, what came meanwhile lies unread.
        if (reason && !hasUnreadBytes(*connection))
            ends.emplace_back(key, *reason);
    }
    for (auto [key, reason] : ends) {
        auto entry = m_server.connections.find(key);
        if (entry != m_server.connections.end())
            end(*entry->second, reason);
    }
}

// Highest for the connections that hold most and progress least; 0 for those that aren't closed for room.
double ConnectionMonitor::score(ServerConnection& connection)
{
    auto& state = connection.state;
    auto age = m_server.loop.now() - state.phaseSince;
    auto bytes = state.held.bytes() + state.unsentBytes;
    bool isMoving = state.phase == ConnectionPhase::Head || state.phase == ConnectionPhase::Body || state.phase == ConnectionPhase::Writing;
    if (state.isEnding || connection.key == m_judgedKey || !isMoving || bytes < leastBytesToShed || age < shortestTrial)
        return 0;
    if (state.phase == ConnectionPhase::Writing)
        noteAcknowledged(connection);
    // After a pause of this process, what came meanwhile lies unread.
    auto moved = state.movedBytes + (state.phase == ConnectionPhase::Writing ? 0 : unreadBytes(connection));
    auto rate = static_cast<double>(moved) / std::chrono::duration<double>(age).count();
    return rate > fastEnoughBytesPerSecond ? 0 : static_cast<double>(bytes) / (1 + rate);
}

double ConnectionMonitor::highestScore()
{
    auto now = m_server.loop.now();
    if (m_nothingFoundAt && now - *m_nothingFoundAt < searchPause)
        return 0;
    double highest = 0;
    for (const auto& [key, connection] : m_server.connections) {
        auto points = score(*connection);
        if (points > highest) {
            highest = points;
            m_highestKey = key;
        }
    }
    m_nothingFoundAt = highest > 0 ? std::nullopt : std::optional(now);
    return highest;
}

bool ConnectionMonitor::isFull() const
{
    auto limit = m_server.options.maximumConnections;
    // A connection that will linger has a second descriptor already.
    return limit > 0 && m_server.connections.size() + m_server.pendingLingers + *m_server.lingering >= limit;
}

bool ConnectionMonitor::hasRoom()
{
    if (isFull())
        shedConnections(std::max<size_t>(1, m_server.options.maximumConnections / connectionsPerShed));
    return !isFull();
}

// Whether an unfinished body or answer has stood still or moved slowly for long enough.
static bool isSlow(const ConnectionState& state, Instant now)
{
    bool isMoving = state.phase == ConnectionPhase::Body || state.phase == ConnectionPhase::Writing;
    auto age = now - state.phaseSince;
    return isMoving && age >= shortestTrial && static_cast<double>(state.movedBytes) / std::chrono::duration<double>(age).count() <= fastEnoughBytesPerSecond;
}

// Closes idle connections and those with unfinished heads, first those of the addresses that have most, the longest idle
// ones among them. If there are none, the same goes for slow ones: bodies too small for the memory budget would otherwise
// keep all others out until they time out.
void ConnectionMonitor::shedConnections(size_t count)
{
    struct Candidate {
        size_t connectionsOfAddress;
        Instant since;
        uint64_t key;
    };
    std::vector<Candidate> candidates;
    std::vector<Candidate> slow;
    auto now = m_server.loop.now();
    for (const auto& [key, connection] : m_server.connections) {
        auto& state = connection->state;
        bool isUnused = state.phase == ConnectionPhase::Idle || state.phase == ConnectionPhase::Head;
        if (state.phase == ConnectionPhase::Writing)
            noteAcknowledged(*connection);
        if (state.isEnding || (!isUnused && !isSlow(state, now)) || hasUnreadBytes(*connection))
            continue;
        auto& group = isUnused ? candidates : slow;
        group.push_back({ m_connectionsByAddress[state.address], isUnused ? state.phaseSince : state.lastProgress, key });
    }
    if (candidates.empty())
        candidates = std::move(slow);
    auto end = candidates.begin() + static_cast<ptrdiff_t>(std::min(count, candidates.size()));
    std::partial_sort(candidates.begin(), end, candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::pair(right.connectionsOfAddress, left.since) < std::pair(left.connectionsOfAddress, right.since);
    });
    std::for_each(candidates.begin(), end, [this](const Candidate& candidate) {
        auto entry = m_server.connections.find(candidate.key);
        if (entry != m_server.connections.end())
            this->end(*entry->second, ConnectionEndReason::ConnectionShed);
    });
}

}
