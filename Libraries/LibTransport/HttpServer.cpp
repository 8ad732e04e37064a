#include <LibTransport/HttpServer.h>

#include <LibTransport/HttpServerImplementation.h>
#include <LibTransport/LingeringClose.h>
#include <LibTransport/RequestFraming.h>
#include <LibTransport/ResponseWriter.h>
#include <LibTransport/SocketAddress.h>
#include <LibTransport/SocketBuffer.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <new>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Transport {

static constexpr int connectionsPerWakeUp = 64;
// Time without an accept after the process ran out of descriptors.
static constexpr Duration acceptPause = 100ms;
// Callers whose bodies are refused may go on sending, and a crowd of them would take a second descriptor for each connection.
static constexpr size_t mostLingeringRefusals = 64;
// The library reads all that the system has of a connection before anybody can refuse it, and the system would keep up to
// some megabytes. Enough for 200 Mbit/s at 10 ms there and back.
static constexpr int socketBufferBytes = 256 << 10;
// A body is copied from the library's buffer in pieces, each of which is given back before the next.
static constexpr size_t copiedPiece = 1u << 20;
// Giving pages back costs more than keeping them for shorter bodies: 5 us for one of 10 KB.
static constexpr size_t longBody = 64u << 10;
static constexpr int http2Version = 0x200;
static constexpr uint16_t contentTooLarge = 413;
static constexpr uint16_t badRequest = 400;
static constexpr uint16_t requestTimeout = 408;
static constexpr uint16_t serviceUnavailable = 503;

struct ServerHandler {
    h2o_handler_t super;
    HttpServer::Implementation* server;
};

struct EntityTooLargeFilter {
    h2o_filter_t super;
    HttpServer::Implementation* server;
};

// Sends another body than the one that it is given.
struct ReplacedBody {
    h2o_ostream_t super;
    h2o_iovec_t body;
    bool isSent;
};

static std::string toString(const h2o_iovec_t& text)
{
    return text.base ? std::string(text.base, text.len) : std::string();
}

HttpServer::Implementation::Implementation(EventLoop& eventLoop, HttpServerOptions serverOptions)
    : loop(eventLoop)
    , options(std::move(serverOptions))
    , peerCloses(eventLoop.m_implementation->loop, [this](uint64_t key) { peerClosed(key); })
{
    h2o_config_init(&config);
    monitor = std::make_unique<ConnectionMonitor>(*this);
    config.server_name = h2o_iovec_init(H2O_STRLIT("fulmarsail"));
    registerHandlers();
    h2o_context_init(&context, loop.m_implementation->loop, &config);
    acceptContext.ctx = &context;
    acceptContext.hosts = config.hosts;
}

HttpServer::Implementation::~Implementation()
{
    // The library leaves its timer for the second GOAWAY frame behind.
    if (h2o_timeout_is_linked(&context.http2._graceful_shutdown_timeout))
        h2o_timeout_unlink(&context.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&context);
    h2o_config_dispose(&config);
}

void HttpServer::Implementation::registerHandlers()
{
    auto* host = h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    // The fallback path takes every target, and the library's own error answers pass its filters.
    auto* path = &host->fallback_path;

    auto* handler = reinterpret_cast<ServerHandler*>(h2o_create_handler(path, sizeof(ServerHandler)));
    handler->server = this;
    handler->super.on_req = [](h2o_handler_t* self, h2o_req_t* request) {
        return reinterpret_cast<ServerHandler*>(self)->server->handle(request);
    };

    auto* filter = reinterpret_cast<EntityTooLargeFilter*>(h2o_create_filter(path, sizeof(EntityTooLargeFilter)));
    filter->server = this;
    filter->super.on_setup_ostream = [](h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** slot) {
        reinterpret_cast<EntityTooLargeFilter*>(self)->server->replaceEntityTooLarge(request, slot);
    };
}

// Accepted connections inherit it.
static void boundSocketBuffers(int listener)
{
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
}

void HttpServer::Implementation::listen()
{
    auto address = toSocketAddress(options.listen);
    auto fail = [&](const char* step, int descriptor) {
        std::string reason = std::strerror(errno);
        if (descriptor != -1)
            close(descriptor);
        throw Error(step, options.listen.toString(), reason);
    };
    int descriptor = socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor == -1)
        fail("open listener", descriptor);
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (options.memory)
        boundSocketBuffers(descriptor);
    if (bind(descriptor, address.get(), address.length) != 0)
        fail("bind listener", descriptor);
    if (::listen(descriptor, H2O_SOMAXCONN) != 0)
        fail("listen", descriptor);

    SocketAddress bound;
    bound.length = sizeof(bound.storage);
    getsockname(descriptor, bound.get(), &bound.length);
    endpoint = toEndpoint(bound);

    listener = h2o_evloop_socket_create(loop.m_implementation->loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    listener->data = this;
    startAccepting();
}

void HttpServer::Implementation::startAccepting()
{
    h2o_socket_read_start(listener, [](h2o_socket_t* socket, const char*) {
        static_cast<Implementation*>(socket->data)->acceptConnections();
    });
}

// Without descriptors, or room for a connection, the listener stays readable, and the loop would spin until there is.
void HttpServer::Implementation::pauseAccepting()
{
    h2o_socket_read_stop(listener);
    acceptTimer = loop.callAt(loop.now() + acceptPause, [this] { startAccepting(); });
}

static bool hasWaitingConnection(h2o_socket_t* listener)
{
    pollfd entry { h2o_socket_get_fd(listener), POLLIN, 0 };
    return poll(&entry, 1, 0) > 0;
}

void HttpServer::Implementation::acceptConnections()
{
    for (int count = 0; count < connectionsPerWakeUp; ++count) {
        // No connection is closed for room that nobody asks for.
        if (monitor->isFull() && !hasWaitingConnection(listener))
            return;
        if (!monitor->hasRoom()) {
            pauseAccepting();
            return;
        }
        auto* socket = h2o_evloop_socket_accept(listener);
        if (!socket) {
            if (errno == EMFILE || errno == ENFILE)
                pauseAccepting();
            return;
        }
        adopt(socket);
    }
}

void HttpServer::Implementation::adopt(h2o_socket_t* socket)
{
    int on = 1;
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    SocketAddress peer;
    peer.length = h2o_socket_getpeername(socket, peer.get());
    auto* connection = new ServerConnection { this, socket, ++lastConnectionKey, 0, -1, { options.memory, toEndpoint(peer).address, loop.now() } };
    connections.emplace(connection->key, connection);
    socket->on_close.data = connection;
    socket->on_close.cb = [](void* data) {
        auto* closed = static_cast<ServerConnection*>(data);
        closed->server->connectionClosed(closed);
    };
    if (!peerCloses.add(h2o_socket_get_fd(socket), connection->key)) {
        h2o_socket_close(socket);
        return;
    }
    h2o_accept(&acceptContext, socket);
    monitor->connectionOpened(*connection);
}

void HttpServer::Implementation::closeListener()
{
    if (!listener)
        return;
    loop.cancelTimer(acceptTimer);
    h2o_socket_close(listener);
    listener = nullptr;
}

void HttpServer::Implementation::stopAccepting()
{
    closeListener();
    h2o_context_request_shutdown(&context);
}

// Ends every connection at once. The library notices on the loop's next rounds.
void HttpServer::Implementation::closeConnections()
{
    for (const auto& [key, connection] : connections)
        shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
    std::vector<ServerRequestId> open;
    for (const auto& [id, request] : requests)
        open.push_back(id);
    for (auto id : open)
        respond(id, HttpResponse { .status = requestTimeout });
}

void HttpServer::Implementation::connectionClosed(ServerConnection* connection)
{
    connections.erase(connection->key);
    monitor->connectionClosed(*connection);
    if (connection->lingerDescriptor != -1) {
        --pendingLingers;
        auto& shared = *loop.m_implementation;
        shared.retired.push_back(std::make_unique<LingeringClose>(loop, shared.loop, connection->lingerDescriptor, lingering));
    }
    delete connection;
}

static ServerConnection* connectionOf(h2o_req_t* request)
{
    auto* socket = request->conn->callbacks->get_socket(request->conn);
    return static_cast<ServerConnection*>(socket->on_close.data);
}

RequestAnchor* HttpServer::Implementation::anchorFor(h2o_req_t* request, ServerRequestId id)
{
    auto* memory = h2o_mem_alloc_shared(&request->pool, sizeof(RequestAnchor), [](void* data) {
        auto* anchor = static_cast<RequestAnchor*>(data);
        --anchor->server->openExchanges;
        anchor->server->writing.erase(anchor);
        anchor->server->requestDisposed(anchor->id);
        anchor->server->monitor->exchangeEnded(anchor->connectionKey, anchor->isAnswered, anchor->unsentBytes);
        anchor->~RequestAnchor();
    });
    ++openExchanges;
    return new (memory) RequestAnchor { this, id, {}, connectionOf(request)->key };
}

static Endpoint peerOf(h2o_req_t* request)
{
    SocketAddress address;
    address.length = request->conn->callbacks->get_peername(request->conn, address.get());
    return toEndpoint(address);
}

// Copies the body, and gives the memory of the library's own back: it reads the body no more.
static std::string takeBody(const h2o_iovec_t& entity)
{
    std::string body;
    body.reserve(entity.len);
    for (size_t offset = 0; offset < entity.len; offset += copiedPiece) {
        auto piece = std::min(copiedPiece, entity.len - offset);
        body.append(entity.base + offset, piece);
        if (entity.len >= longBody)
            dropPages(entity.base + offset, piece);
    }
    return body;
}

static HttpRequest readRequest(h2o_req_t* request, const std::shared_ptr<MemoryBudget>& memory)
{
    HttpRequest result;
    result.method = toString(request->method);
    result.authority = toString(request->authority);
    result.target = toString(request->path);
    auto headBytes = result.method.size() + result.authority.size() + result.target.size();
    result.headers.reserve(request->headers.size);
    for (size_t i = 0; i < request->headers.size; ++i) {
        const auto& header = request->headers.entries[i];
        result.headers.push_back({ toString(*header.name), toString(header.value) });
        headBytes += sizeof(HttpHeader) + header.name->len + header.value.len;
    }
    result.body = takeBody(request->entity);
    result.reservation = reserveHeld(memory, MemoryKind::Requests, headBytes + result.body.size());
    auto peer = peerOf(request);
    result.peerAddress = std::move(peer.address);
    result.peerPort = peer.port;
    result.protocol = request->version < http2Version ? "HTTP/1." + std::to_string(request->version & 0xff) : "HTTP/2";
    return result;
}

int HttpServer::Implementation::handle(h2o_req_t* request)
{
    auto id = ++lastId;
    PendingRequest pending { request, anchorFor(request, id), nullptr };
    if (request->version < http2Version)
        pending.connection = connectionOf(request);
    requests.emplace(id, pending);
    auto& connection = *connectionOf(request);
    auto bodyBytes = request->entity.len;
    monitor->requestHanded(connection, bodyBytes);

    if (pending.connection) {
        pending.connection->waitingRequest = id;
        // Nobody waits for a request whose sender left before it was read.
        if (PeerCloseWatch::isClosedByPeer(h2o_socket_get_fd(pending.connection->socket))) {
            endUnanswered(*pending.connection);
            return 0;
        }
    }
    if (pending.connection && hasAmbiguousFraming(*pending.connection->socket->input)) {
        request->http1_is_persistent = 0;
        respond(id, HttpResponse { badRequest, { { "content-type", "text/plain" } }, "The request's length is ambiguous.\n" });
        return 0;
    }
    if (bodyBytes > monitor->limits().bodyBytes) {
        respond(id, bodyTooLarge());
        return 0;
    }
    if (!hasOwner || !options.onRequest) {
        respond(id, HttpResponse { .status = requestTimeout });
        return 0;
    }
    loop.m_implementation->protect([&] { options.onRequest(id, readRequest(request, options.memory)); });
    return 0;
}

// The library doesn't read from an HTTP/1 connection while a request waits for its answer, so it doesn't notice then.
void HttpServer::Implementation::peerClosed(uint64_t connectionKey)
{
    auto connection = connections.find(connectionKey);
    if (connection != connections.end() && connection->second->waitingRequest != 0)
        abandon(*connection->second);
}

void HttpServer::Implementation::abandon(ServerConnection& connection)
{
    auto id = connection.waitingRequest;
    endUnanswered(connection);
    if (hasOwner && options.onRequestGone)
        loop.m_implementation->protect([&] { options.onRequestGone(id); });
}

// Ends the exchange with a peer that closed its connection. No byte of the made-up answer leaves.
void HttpServer::Implementation::endUnanswered(ServerConnection& connection)
{
    shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
    respond(connection.waitingRequest, HttpResponse { .status = requestTimeout });
}

void HttpServer::Implementation::requestDisposed(ServerRequestId id)
{
    if (requests.erase(id) == 0 || !hasOwner)
        return;
    // The library is in the middle of closing the stream, so the owner is told later.
    loop.callAt(loop.now(), [this, id] {
        if (hasOwner && options.onRequestGone)
            options.onRequestGone(id);
    });
}

// Ends the wait for an answer; gives nothing if the peer is gone.
std::optional<PendingRequest> HttpServer::Implementation::take(ServerRequestId id)
{
    auto entry = requests.find(id);
    if (entry == requests.end())
        return std::nullopt;
    auto pending = entry->second;
    if (pending.connection)
        pending.connection->waitingRequest = 0;
    requests.erase(entry);
    return pending;
}

void HttpServer::Implementation::respond(ServerRequestId id, HttpResponse response)
{
    auto pending = take(id);
    if (!pending)
        return;
    // The library itself says so on HTTP/2 only.
    if (context.shutdown_requested || closesAfterAnswers)
        pending->request->http1_is_persistent = 0;
    // The peer may have sent its next request already.
    if (pending->connection && !pending->request->http1_is_persistent)
        lingerAfterClose(*pending->connection);
    beginAnswer(*pending, response);
    writeResponse(*pending->request, std::move(response), pending->anchor->body);
}

void HttpServer::Implementation::beginAnswer(const PendingRequest& pending, HttpResponse& response)
{
    auto& anchor = *pending.anchor;
    anchor.isAnswered = true;
    anchor.unsentBytes = response.body.size();
    anchor.reservation = response.reservation ? std::move(response.reservation) : reserveHeld(options.memory, MemoryKind::Unsent, anchor.unsentBytes);
    anchor.reservation->setKind(MemoryKind::Unsent);
    writing.insert(&anchor);
    auto connection = connections.find(anchor.connectionKey);
    if (connection != connections.end())
        monitor->answerBegun(*connection->second, anchor.unsentBytes);
}

void HttpServer::Implementation::releaseUnsent(const ServerConnection& connection)
{
    for (auto* anchor : writing) {
        if (anchor->connectionKey == connection.key)
            anchor->reservation->force(0);
    }
}

void HttpServer::Implementation::lingerAfterClose(ServerConnection& connection)
{
    if (connection.lingerDescriptor != -1)
        return;
    connection.lingerDescriptor = fcntl(h2o_socket_get_fd(connection.socket), F_DUPFD_CLOEXEC, 0);
    pendingLingers += connection.lingerDescriptor != -1 ? 1 : 0;
}

void HttpServer::Implementation::cut(ServerRequestId id, HttpResponse response, size_t bodyBytes)
{
    auto pending = take(id);
    if (!pending)
        return;
    if (bodyBytes == 0 && pending->connection)
        shutdown(h2o_socket_get_fd(pending->connection->socket), SHUT_RDWR);
    beginAnswer(*pending, response);
    writeCutResponse(*pending->request, std::move(response), bodyBytes, pending->anchor->body);
}

HttpResponse HttpServer::Implementation::bodyTooLarge() const
{
    HttpResponse response { contentTooLarge, { { "content-type", "text/plain" } }, "The request's body is too large.\n" };
    if (hasOwner && options.onBodyTooLarge)
        loop.m_implementation->protect([&] { response = options.onBodyTooLarge(); });
    return response;
}

HttpResponse HttpServer::Implementation::noMemory() const
{
    HttpResponse response { serviceUnavailable, { { "content-type", "text/plain" }, { "retry-after", "1" } }, "There is no memory for the request's body.\n" };
    if (hasOwner && options.onNoMemory)
        loop.m_implementation->protect([&] { response = options.onNoMemory(); });
    return response;
}

// The library refuses a body over the limit by itself, while the peer may still be sending.
void HttpServer::Implementation::replaceEntityTooLarge(h2o_req_t* request, h2o_ostream_t** slot)
{
    auto* connection = connectionOf(request);
    bool isOurs = request->_generator == responseGenerator();
    if (isOurs || request->res.status != contentTooLarge)
        return;
    bool mayLinger = pendingLingers + *lingering < mostLingeringRefusals;
    if (request->version < http2Version && mayLinger)
        lingerAfterClose(*connection);

    auto response = monitor->isRefusing() ? noMemory() : bodyTooLarge();
    auto body = h2o_strdup(&request->pool, response.body.data(), response.body.size());
    request->res.headers.size = 0;
    writeHead(*request, response);

    auto* ostream = reinterpret_cast<ReplacedBody*>(h2o_add_ostream(request, sizeof(ReplacedBody), slot));
    ostream->body = body;
    ostream->isSent = false;
    ostream->super.do_send = [](h2o_ostream_t* self, h2o_req_t* sender, h2o_iovec_t*, size_t, h2o_send_state_t state) {
        auto* replaced = reinterpret_cast<ReplacedBody*>(self);
        auto isFirst = !std::exchange(replaced->isSent, true);
        // The library doesn't end a connection after a buffer without bytes.
        h2o_ostream_send_next(self, sender, &replaced->body, isFirst && replaced->body.len > 0 ? 1 : 0, state);
    };
}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(options)))
{
    m_implementation->listen();
}

HttpServer::~HttpServer()
{
    auto& self = *m_implementation;
    self.hasOwner = false;
    self.stopAccepting();
    self.closeConnections();
    self.loop.m_implementation->retired.push_back(std::move(m_implementation));
}

void HttpServer::respond(ServerRequestId id, HttpResponse response) { m_implementation->respond(id, std::move(response)); }

void HttpServer::cut(ServerRequestId id, HttpResponse response, size_t bodyBytes) { m_implementation->cut(id, std::move(response), bodyBytes); }

Endpoint HttpServer::endpoint() const { return m_implementation->endpoint; }

bool HttpServer::hasUnwrittenAnswers() const { return m_implementation->openExchanges > 0; }

size_t HttpServer::lingeringConnections() const { return *m_implementation->lingering; }

size_t HttpServer::openConnections() const { return m_implementation->connections.size(); }

uint64_t HttpServer::ends(ConnectionEndReason reason) const { return m_implementation->monitor->ends()[static_cast<size_t>(reason)]; }

size_t HttpServer::openRequests() const { return m_implementation->requests.size(); }

void HttpServer::closeAfterAnswers() { m_implementation->closesAfterAnswers = true; }

void HttpServer::stopAccepting() { m_implementation->stopAccepting(); }

}
