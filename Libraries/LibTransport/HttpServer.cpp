#include <LibTransport/HttpServer.h>

#include <LibTransport/HttpServerImplementation.h>
#include <LibTransport/LingeringClose.h>
#include <LibTransport/RequestFraming.h>
#include <LibTransport/ResponseWriter.h>
#include <LibTransport/SocketAddress.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <new>
#include <unistd.h>
#include <utility>

namespace Transport {

static constexpr int connectionsPerWakeUp = 64;
// Time without an accept after the process ran out of descriptors.
static constexpr Duration acceptPause = 100ms;
// Longer than the idle timeout of our own clients, so that it is they who close idle connections.
static constexpr std::chrono::milliseconds idleTimeout = 75s;
// Bodies that exceed the limit by less are read whole, so that the refusal leaves the connection as it is, and
// reaches an HTTP/2 peer too: there the library only resets the stream when it refuses a body itself.
static constexpr uint64_t bodyBytesReadBeyondLimit = 1u << 20;
static constexpr int http2Version = 0x200;
static constexpr uint16_t contentTooLarge = 413;
static constexpr uint16_t badRequest = 400;
static constexpr uint16_t requestTimeout = 408;

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
    config.max_request_entity_size = options.maximumBodyBytes + bodyBytesReadBeyondLimit;
    config.http1.req_timeout = idleTimeout.count();
    config.http2.idle_timeout = idleTimeout.count();
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

// Without descriptors the listener stays readable, and the loop would spin until one is free.
void HttpServer::Implementation::pauseAccepting()
{
    h2o_socket_read_stop(listener);
    acceptTimer = loop.callAt(loop.now() + acceptPause, [this] { startAccepting(); });
}

void HttpServer::Implementation::acceptConnections()
{
    for (int count = 0; count < connectionsPerWakeUp; ++count) {
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
    auto* connection = new ServerConnection { this, socket, ++lastConnectionKey };
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
    if (connection->lingerDescriptor != -1) {
        auto& shared = *loop.m_implementation;
        shared.retired.push_back(std::make_unique<LingeringClose>(loop, shared.loop, connection->lingerDescriptor, lingering));
    }
    delete connection;
}

RequestAnchor* HttpServer::Implementation::anchorFor(h2o_req_t* request, ServerRequestId id)
{
    auto* memory = h2o_mem_alloc_shared(&request->pool, sizeof(RequestAnchor), [](void* data) {
        auto* anchor = static_cast<RequestAnchor*>(data);
        --anchor->server->openExchanges;
        anchor->server->requestDisposed(anchor->id);
        anchor->~RequestAnchor();
    });
    ++openExchanges;
    return new (memory) RequestAnchor { this, id, {} };
}

static ServerConnection* connectionOf(h2o_req_t* request)
{
    auto* socket = request->conn->callbacks->get_socket(request->conn);
    return static_cast<ServerConnection*>(socket->on_close.data);
}

static Endpoint peerOf(h2o_req_t* request)
{
    SocketAddress address;
    address.length = request->conn->callbacks->get_peername(request->conn, address.get());
    return toEndpoint(address);
}

static HttpRequest readRequest(h2o_req_t* request)
{
    HttpRequest result;
    result.method = toString(request->method);
    result.authority = toString(request->authority);
    result.target = toString(request->path);
    result.headers.reserve(request->headers.size);
    for (size_t i = 0; i < request->headers.size; ++i) {
        const auto& header = request->headers.entries[i];
        result.headers.push_back({ toString(*header.name), toString(header.value) });
    }
    result.body = toString(request->entity);
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
    if (request->entity.len > options.maximumBodyBytes) {
        respond(id, bodyTooLarge());
        return 0;
    }
    if (!hasOwner || !options.onRequest) {
        respond(id, HttpResponse { .status = requestTimeout });
        return 0;
    }
    loop.m_implementation->protect([&] { options.onRequest(id, readRequest(request)); });
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
    writeResponse(*pending->request, std::move(response), pending->anchor->body);
}

void HttpServer::Implementation::lingerAfterClose(ServerConnection& connection)
{
    if (connection.lingerDescriptor == -1)
        connection.lingerDescriptor = fcntl(h2o_socket_get_fd(connection.socket), F_DUPFD_CLOEXEC, 0);
}

void HttpServer::Implementation::cut(ServerRequestId id, HttpResponse response, size_t bodyBytes)
{
    auto pending = take(id);
    if (!pending)
        return;
    if (bodyBytes == 0 && pending->connection)
        shutdown(h2o_socket_get_fd(pending->connection->socket), SHUT_RDWR);
    writeCutResponse(*pending->request, std::move(response), bodyBytes, pending->anchor->body);
}

HttpResponse HttpServer::Implementation::bodyTooLarge() const
{
    HttpResponse response { contentTooLarge, { { "content-type", "text/plain" } }, "The request's body is too large.\n" };
    if (hasOwner && options.onBodyTooLarge)
        loop.m_implementation->protect([&] { response = options.onBodyTooLarge(); });
    return response;
}

// The library refuses a body over the limit by itself, while the peer may still be sending.
void HttpServer::Implementation::replaceEntityTooLarge(h2o_req_t* request, h2o_ostream_t** slot)
{
    auto* connection = connectionOf(request);
    bool isOurs = request->_generator == responseGenerator();
    if (isOurs || request->res.status != contentTooLarge)
        return;
    if (request->version < http2Version)
        lingerAfterClose(*connection);

    auto response = bodyTooLarge();
    auto body = h2o_strdup(&request->pool, response.body.data(), response.body.size());
    request->res.headers.size = 0;
    writeHead(*request, response);

    auto* ostream = reinterpret_cast<ReplacedBody*>(h2o_add_ostream(request, sizeof(ReplacedBody), slot));
    ostream->body = body;
    ostream->isSent = false;
    ostream->super.do_send = [](h2o_ostream_t* self, h2o_req_t* sender, h2o_iovec_t*, size_t, h2o_send_state_t state) {
        auto* replaced = reinterpret_cast<ReplacedBody*>(self);
        auto isFirst = !std::exchange(replaced->isSent, true);
        h2o_ostream_send_next(self, sender, &replaced->body, isFirst ? 1 : 0, state);
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

size_t HttpServer::openRequests() const { return m_implementation->requests.size(); }

void HttpServer::closeAfterAnswers() { m_implementation->closesAfterAnswers = true; }

void HttpServer::stopAccepting() { m_implementation->stopAccepting(); }

}
