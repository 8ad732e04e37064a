#include <LibTransport/HttpClient.h>

#include <LibTransport/HttpClientImplementation.h>
#include <LibTransport/SocketAddress.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <utility>

namespace Transport {

// How long after a whole answer a connection counts as proven.
static constexpr Duration provenTime = 1s;
// A peer that doesn't answer in this time has neither taken nor refused a connection.
static constexpr Duration longestCheck = 1s;

HttpClient::Implementation::Implementation(EventLoop& eventLoop, ClientOptions clientOptions)
    : loop(eventLoop)
    , options(std::move(clientOptions))
{
}

HttpClient::Implementation::~Implementation()
{
    for (auto& [id, request] : requests)
        cancelTimers(request);
    requests.clear();
    std::ranges::for_each(m_checks, [&](const auto& entry) { loop.cancelTimer(entry.second.timer); });
    m_checks.clear();
    for (auto& [endpoint, pool] : pools)
        std::ranges::for_each(pool.idle, [&](const auto& connection) { loop.cancelTimer(connection->idleTimer); });
    pools.clear();
}

ClientRequestId HttpClient::Implementation::send(ClientRequest request, std::function<void(ClientResult)> callback)
{
    toSocketAddress(request.to);
    auto id = ++lastId;
    auto endpoint = request.to;
    auto now = loop.now();
    auto deadline = now + request.deadline;
    auto& open = requests[id];
    open.request = std::move(request);
    open.callback = std::move(callback);
    open.sentAt = now;
    open.deadlineTimer = loop.callAt(deadline, [this, id] { deadlinePassed(id); });
    pools[endpoint].waiting.insert(id);
    startWaiting(endpoint);
    return id;
}

void HttpClient::Implementation::startWaiting(const Endpoint& endpoint)
{
    auto& pool = pools[endpoint];
    while (!pool.waiting.empty()) {
        auto id = *pool.waiting.begin();
        if (!tryStart(id, requests.at(id), pool))
            break;
    }
    removeIfEmpty(endpoint);
}

bool HttpClient::Implementation::tryStart(ClientRequestId id, OpenRequest& open, EndpointPool& pool)
{
    auto connection = takeConnection(open.request, pool);
    if (!connection)
        return false;
    pool.waiting.erase(id);
    open.generation = pool.generation;
    startExchange(id, open, std::move(connection));
    return true;
}

std::unique_ptr<ClientConnection> HttpClient::Implementation::takeConnection(const ClientRequest& request, EndpointPool& pool)
{
    if (!request.needsNewConnection) {
        if (auto idle = takeIdle(request, pool))
            return idle;
    }
    if (!makeRoom(request, pool))
        return nullptr;
    auto connection = std::make_unique<ClientConnection>(loop.m_implementation->loop, request.to, options.probesConnections ? std::optional(silenceTimeout) : std::nullopt);
    ++pool.connections;
    ++counters.connectionsOpen;
    return connection;
}

std::unique_ptr<ClientConnection> HttpClient::Implementation::takeIdle(const ClientRequest& request, EndpointPool& pool)
{
    auto now = loop.now();
    while (!pool.idle.empty()) {
        auto& newest = pool.idle.back();
        if (request.needsProvenConnection && newest->lastAnswer + provenTime < now)
            return nullptr;
        auto connection = std::move(newest);
        pool.idle.pop_back();
        loop.cancelTimer(connection->idleTimer);
        connection->stopReading();
        if (connection->isQuiet())
            return connection;
        close(pool, std::move(connection));
    }
    return nullptr;
}

// Closes the least recently used idle connection if the limit is reached.
bool HttpClient::Implementation::makeRoom(const ClientRequest& request, EndpointPool& pool)
{
    if (pool.connections < request.maximumConnections)
        return true;
    if (pool.idle.empty())
        return false;
    auto oldest = std::move(pool.idle.front());
    pool.idle.erase(pool.idle.begin());
    loop.cancelTimer(oldest->idleTimer);
    close(pool, std::move(oldest));
    return pool.connections < request.maximumConnections;
}

void HttpClient::Implementation::startExchange(ClientRequestId id, OpenRequest& open, std::unique_ptr<ClientConnection> connection)
{
    open.exchange = std::make_unique<ClientExchange>(loop, open.request, std::move(connection), options.memory, [this, id] { exchangeEnded(id); });
    if (open.request.progressTimeout > Duration(0))
        open.progressTimer = loop.callAt(loop.now() + open.request.progressTimeout, [this, id] { checkProgress(id); });
    open.exchange->begin();
}

// The library is still at work on the exchange, so the rest is done on the loop's next round.
void HttpClient::Implementation::exchangeEnded(ClientRequestId id)
{
    auto& open = requests.at(id);
    cancelTimers(open);
    open.deadlineTimer = loop.callAt(loop.now(), [this, id] { finish(id); });
}

void HttpClient::Implementation::finish(ClientRequestId id)
{
    auto entry = requests.extract(id);
    auto& open = entry.mapped();
    auto result = open.exchange->takeResult();
    result.elapsed = loop.now() - open.sentAt;
    releaseConnection(open);
    auto endpoint = open.request.to;
    auto callback = std::move(open.callback);
    open.exchange.reset();
    startWaiting(endpoint);
    callback(std::move(result));
}

void HttpClient::Implementation::releaseConnection(OpenRequest& open)
{
    auto& exchange = *open.exchange;
    counters.bytesSent += exchange.bytesSent();
    counters.bytesReceived += exchange.bytesReceived();
    if (exchange.isSent())
        ++(exchange.wasFresh() ? counters.connectionsOpened : counters.connectionsReused);

    auto& pool = pools[open.request.to];
    auto connection = exchange.takeConnection();
    bool isKept = exchange.isConnectionReusable() && open.generation == pool.generation;
    if (!isKept) {
        close(pool, std::move(connection));
        return;
    }
    keepIdle(open.request.to, pool, std::move(connection), open.request.idleConnectionTimeout);
}

void HttpClient::Implementation::keepIdle(const Endpoint& endpoint, EndpointPool& pool, std::unique_ptr<ClientConnection> connection, Duration idleTimeout)
{
    auto* kept = connection.get();
    kept->lastAnswer = loop.now();
    // Whatever comes on an idle connection, its end or bytes, makes it useless.
    kept->startReading([this, endpoint, kept](const char*) { closeIdle(endpoint, kept); });
    kept->idleTimer = loop.callAt(loop.now() + idleTimeout, [this, endpoint, kept] { closeIdle(endpoint, kept); });
    pool.idle.push_back(std::move(connection));
}

void HttpClient::Implementation::closeIdle(const Endpoint& endpoint, ClientConnection* connection)
{
    auto& pool = pools[endpoint];
    auto entry = std::ranges::find(pool.idle, connection, [](const auto& idle) { return idle.get(); });
    auto closing = std::move(*entry);
    pool.idle.erase(entry);
    loop.cancelTimer(closing->idleTimer);
    close(pool, std::move(closing));
    startWaiting(endpoint);
}

void HttpClient::Implementation::close(EndpointPool& pool, std::unique_ptr<ClientConnection> connection)
{
    --pool.connections;
    --counters.connectionsOpen;
    connection.reset();
}

void HttpClient::Implementation::cancel(ClientRequestId id)
{
    auto entry = requests.extract(id);
    if (entry.empty())
        return;
    auto& open = entry.mapped();
    cancelTimers(open);
    auto endpoint = open.request.to;
    if (open.exchange) {
        releaseConnection(open);
        open.exchange.reset();
    } else {
        pools[endpoint].waiting.erase(id);
    }
    startWaiting(endpoint);
}

void HttpClient::Implementation::checkConnection(const Endpoint& endpoint, std::function<void()> onRefused)
{
    auto id = ++m_lastCheck;
    auto& check = m_checks[id];
    check.connection = std::make_unique<ClientConnection>(loop.m_implementation->loop, endpoint, std::nullopt);
    bool hasBegun = check.connection->connect([this, id, onRefused](const char* error) { endCheck(
                                                                                             id, error ? onRefused : [] {}); });
    if (!hasBegun)
        m_checks.erase(id);
    else
        check.timer = loop.callAt(loop.now() + longestCheck, [this, id] { m_checks.erase(id); });
}

// The library is still at work on the connection, so it is closed on the loop's next round.
void HttpClient::Implementation::endCheck(uint64_t id, std::function<void()> callback)
{
    auto& check = m_checks.at(id);
    loop.cancelTimer(check.timer);
    check.timer = loop.callAt(loop.now(), [this, id, callback = std::move(callback)] {
        m_checks.erase(id);
        callback();
    });
}

void HttpClient::Implementation::dropConnections(const Endpoint& endpoint)
{
    auto entry = pools.find(endpoint);
    if (entry == pools.end())
        return;
    auto& pool = entry->second;
    ++counters.cohortsDropped;
    ++pool.generation;
    auto dropped = std::exchange(pool.idle, {});
    for (auto& connection : dropped) {
        loop.cancelTimer(connection->idleTimer);
        close(pool, std::move(connection));
    }
    startWaiting(endpoint);
}

void HttpClient::Implementation::deadlinePassed(ClientRequestId id)
{
    auto& open = requests.at(id);
    if (open.exchange) {
        open.exchange->abort(ClientStatus::TimedOut, "the deadline passed");
        return;
    }
    auto entry = requests.extract(id);
    auto& waiting = entry.mapped();
    auto endpoint = waiting.request.to;
    pools[endpoint].waiting.erase(id);
    startWaiting(endpoint);
    ClientResult result;
    result.elapsed = loop.now() - waiting.sentAt;
    result.error = "the deadline passed before a connection was free";
    waiting.callback(std::move(result));
}

void HttpClient::Implementation::checkProgress(ClientRequestId id)
{
    auto& open = requests.at(id);
    auto silentAt = open.exchange->lastProgress() + open.request.progressTimeout;
    if (silentAt <= loop.now()) {
        open.exchange->abort(ClientStatus::Silent, "nothing moved on the connection for too long");
        return;
    }
    open.progressTimer = loop.callAt(silentAt, [this, id] { checkProgress(id); });
}

void HttpClient::Implementation::removeIfEmpty(const Endpoint& endpoint)
{
    auto entry = pools.find(endpoint);
    if (entry != pools.end() && entry->second.connections == 0 && entry->second.waiting.empty())
        pools.erase(entry);
}

void HttpClient::Implementation::cancelTimers(OpenRequest& open)
{
    loop.cancelTimer(open.deadlineTimer);
    loop.cancelTimer(open.progressTimer);
}

HttpClient::HttpClient(EventLoop& loop, ClientOptions options)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

ClientRequestId HttpClient::send(ClientRequest request, std::function<void(ClientResult)> callback)
{
    return m_implementation->send(std::move(request), std::move(callback));
}

void HttpClient::cancel(ClientRequestId id) { m_implementation->cancel(id); }

void HttpClient::checkConnection(const Endpoint& endpoint, std::function<void()> onRefused) { m_implementation->checkConnection(endpoint, std::move(onRefused)); }

void HttpClient::dropConnections(const Endpoint& endpoint) { m_implementation->dropConnections(endpoint); }

const ClientCounters& HttpClient::counters() const { return m_implementation->counters; }

size_t HttpClient::openRequests() const { return m_implementation->requests.size(); }

}
