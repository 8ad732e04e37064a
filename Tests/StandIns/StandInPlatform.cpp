#include <Tests/StandIns/StandInPlatform.h>

#include <LibModel/EnumNames.h>
#include <Tests/StandIns/Json.h>

#include <algorithm>
#include <charconv>
#include <openssl/evp.h>
#include <utility>

namespace StandIns {

using namespace Transport;

static constexpr uint64_t maximumValueBytes = 1u << 20;
static constexpr Duration longestWait = 10min;
static constexpr Duration defaultWait = 5min;
static constexpr uint16_t notFound = 404;
static constexpr uint16_t badRequest = 400;
static constexpr uint16_t internalError = 500;
static constexpr std::string_view keyPath = "/v1/kv/";
static constexpr std::string_view sessionPath = "/v1/session/";

static std::string base64(const std::string& bytes)
{
    // Three bytes become four characters; the library adds a terminating zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(length);
    return text;
}

static uint64_t numberOr(const std::optional<std::string>& text, uint64_t fallback)
{
    uint64_t number = fallback;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

// Reads "10s", "500ms" or "5m".
static Duration parseWait(const std::string& text, Duration fallback)
{
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {})
        return fallback;
    std::string_view unit(end, text.data() + text.size());
    if (unit == "ms")
        return std::chrono::milliseconds(number);
    if (unit == "m")
        return std::chrono::minutes(number);
    return std::chrono::seconds(number);
}

StandInPlatform::StandInPlatform(EventLoop& loop, const Endpoint& listenEndpoint, const Endpoint& admin)
    : m_loop(loop)
    , m_endpoint(listenEndpoint)
{
    listen();
    HttpServerOptions options;
    options.listen = admin;
    options.onRequest = [this](ServerRequestId id, const HttpRequest& request) { m_admin->respond(id, handleAdmin(request)); };
    m_admin = std::make_unique<HttpServer>(loop, std::move(options));
}

StandInPlatform::~StandInPlatform()
{
    m_loop.cancelTimer(m_expiryTimer);
    dropWatches();
}

void StandInPlatform::listen()
{
    HttpServerOptions options;
    options.listen = m_endpoint;
    options.maximumBodyBytes = maximumValueBytes;
    options.onRequest = [this](ServerRequestId id, HttpRequest request) { receive(id, std::move(request)); };
    options.onRequestGone = [this](ServerRequestId id) {
        if (auto watch = m_watches.extract(id); !watch.empty())
            m_loop.cancelTimer(watch.mapped().timer);
    };
    m_server = std::make_unique<HttpServer>(m_loop, std::move(options));
    m_endpoint = m_server->endpoint();
}

void StandInPlatform::receive(ServerRequestId id, HttpRequest request)
{
    bool isSilenced = m_faults.mode == PlatformMode::SilentReads && request.method == "GET";
    if (m_faults.mode == PlatformMode::Hanging || isSilenced)
        return;
    if (m_faults.delay == Duration(0)) {
        handle(id, request);
        return;
    }
    m_delayed[id] = m_loop.callAt(m_loop.now() + m_faults.delay, [this, id, request = std::move(request)] {
        m_delayed.erase(id);
        handle(id, request);
    });
}

void StandInPlatform::handle(ServerRequestId id, const HttpRequest& request)
{
    expireSessions();
    auto path = pathOf(request.target);
    if (path.starts_with(sessionPath)) {
        ++m_counters.sessionCalls;
        answerWrite(id, handleSession(request, path.substr(sessionPath.size())));
        return;
    }
    if (!path.starts_with(keyPath)) {
        m_server->respond(id, textResponse("no such path\n", notFound));
        return;
    }
    auto key = path.substr(keyPath.size());
    if (request.method == "GET") {
        handleRead(id, request, key);
        return;
    }
    ++m_counters.writes;
    answerWrite(id, handleWrite(request, key));
}

void StandInPlatform::handleRead(ServerRequestId id, const HttpRequest& request, const std::string& key)
{
    auto index = numberOr(queryParameter(request.target, "index"), 0);
    ++(index == 0 ? m_counters.reads : m_counters.watches);
    if (index == 0 || m_store.indexOf(key) > index) {
        m_server->respond(id, listing(key));
        return;
    }
    auto wait = parseWait(queryParameter(request.target, "wait").value_or(""), defaultWait);
    auto timer = m_loop.callAt(m_loop.now() + std::min(wait, longestWait), [this, id] { answerWatch(id); });
    m_watches[id] = { key, index, timer };
}

HttpResponse StandInPlatform::listing(const std::string& prefix) const
{
    Json::Value values(Json::arrayValue);
    for (const auto& [key, stored] : m_store.list(prefix)) {
        Json::Value entry;
        entry["LockIndex"] = Json::UInt64(stored.lockIndex);
        entry["Key"] = key;
        entry["Flags"] = 0;
        entry["Value"] = stored.value.empty() ? Json::Value() : Json::Value(base64(stored.value));
        entry["CreateIndex"] = Json::UInt64(stored.createIndex);
        entry["ModifyIndex"] = Json::UInt64(stored.modifyIndex);
        if (!stored.session.empty())
            entry["Session"] = stored.session;
        values.append(entry);
    }
    auto response = values.empty() ? textResponse("", notFound) : jsonResponse(values);
    response.headers.push_back({ "x-consul-index", std::to_string(m_store.indexOf(prefix)) });
    return response;
}

HttpResponse StandInPlatform::handleWrite(const HttpRequest& request, const std::string& key)
{
    auto cas = queryParameter(request.target, "cas");
    auto session = queryParameter(request.target, "acquire");
    auto released = queryParameter(request.target, "release");
    std::optional<bool> isDone = true;
    if (request.method == "DELETE") {
        isDone = m_store.remove(key, cas ? std::optional(numberOr(cas, 0)) : std::nullopt);
    } else if (cas) {
        isDone = m_store.compareAndSwap(key, request.body, numberOr(cas, 0));
    } else if (session) {
        isDone = m_store.acquire(key, request.body, *session);
    } else if (released) {
        isDone = m_store.release(key, request.body, *released);
    } else {
        m_store.put(key, request.body);
    }
    if (!isDone)
        return textResponse("invalid session \"" + session.value_or("") + "\"", internalError);
    return textResponse(*isDone ? "true" : "false");
}

HttpResponse StandInPlatform::handleSession(const HttpRequest& request, const std::string& path)
{
    if (path == "create") {
        auto body = parseObject(request.body);
        if (!body)
            return textResponse("not a JSON object\n", badRequest);
        Json::Value result;
        auto timeToLive = parseWait(body->get("TTL", "").asString(), Duration(0));
        result["ID"] = m_store.createSession(body->get("Name", "").asString(), timeToLive, m_loop.now());
        return jsonResponse(result);
    }

    auto slash = path.find('/');
    auto action = path.substr(0, slash);
    auto session = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (action == "destroy") {
        m_store.destroySession(session);
        return textResponse("true");
    }
    if (action != "renew" || !m_store.renewSession(session, m_loop.now()))
        return textResponse("Session id '" + session + "' not found", notFound);
    Json::Value renewed(Json::arrayValue);
    renewed.append(Json::Value(Json::objectValue));
    renewed[0]["ID"] = session;
    return jsonResponse(renewed);
}

void StandInPlatform::answerWrite(ServerRequestId id, HttpResponse response)
{
    wakeWatches();
    expireSessions();
    if (m_faults.lostReplies > 0) {
        --m_faults.lostReplies;
        m_server->cut(id, {}, 0);
        return;
    }
    m_server->respond(id, std::move(response));
}

void StandInPlatform::answerWatch(ServerRequestId id)
{
    auto watch = m_watches.extract(id);
    m_loop.cancelTimer(watch.mapped().timer);
    if (m_faults.mode != PlatformMode::SilentReads)
        m_server->respond(id, listing(watch.mapped().prefix));
}

void StandInPlatform::wakeWatches()
{
    if (m_faults.mode == PlatformMode::SilentReads)
        return;
    std::vector<ServerRequestId> woken;
    for (const auto& [id, watch] : m_watches) {
        if (m_store.indexOf(watch.prefix) > watch.index)
            woken.push_back(id);
    }
    std::ranges::for_each(woken, [this](ServerRequestId id) { answerWatch(id); });
}

void StandInPlatform::expireSessions()
{
    m_loop.cancelTimer(m_expiryTimer);
    auto next = m_store.expireSessions(m_loop.now());
    wakeWatches();
    if (next)
        m_expiryTimer = m_loop.callAt(*next, [this] { expireSessions(); });
}

void StandInPlatform::dropWatches()
{
    for (const auto& [id, watch] : m_watches)
        m_loop.cancelTimer(watch.timer);
    m_watches.clear();
    for (const auto& [id, timer] : m_delayed)
        m_loop.cancelTimer(timer);
    m_delayed.clear();
}

void StandInPlatform::setFaults(const PlatformFaults& faults)
{
    m_faults = faults;
    if (faults.mode == PlatformMode::Refusing) {
        dropWatches();
        m_server.reset();
    } else if (!m_server) {
        listen();
    }
    wakeWatches();
}

void StandInPlatform::expireLeases()
{
    m_store.expireAllSessions();
    wakeWatches();
}

void StandInPlatform::takeSnapshot() { m_snapshot = m_store; }

void StandInPlatform::restoreSnapshot()
{
    if (!m_snapshot)
        return;
    m_store = *m_snapshot;
    // The service ends every watch when its data are replaced, even if its index went back.
    std::vector<ServerRequestId> woken;
    for (const auto& [id, watch] : m_watches)
        woken.push_back(id);
    std::ranges::for_each(woken, [this](ServerRequestId id) { answerWatch(id); });
}

HttpResponse StandInPlatform::handleAdmin(const HttpRequest& request)
{
    auto path = pathOf(request.target);
    if (path == "/standin/counters") {
        Json::Value counters;
        counters["reads"] = Json::UInt64(m_counters.reads);
        counters["watches"] = Json::UInt64(m_counters.watches);
        counters["writes"] = Json::UInt64(m_counters.writes);
        counters["session_calls"] = Json::UInt64(m_counters.sessionCalls);
        counters["waiting_watches"] = Json::UInt64(m_watches.size());
        return jsonResponse(counters);
    }
    if (path == "/standin/expire-leases") {
        expireLeases();
    } else if (path == "/standin/snapshot") {
        takeSnapshot();
    } else if (path == "/standin/restore") {
        restoreSnapshot();
    } else if (path == "/standin/fault") {
        auto body = parseObject(request.body);
        auto mode = body ? enumFromName<PlatformMode>(body->get("mode", "up").asString()) : std::nullopt;
        if (!mode)
            return textResponse("not a JSON object, or an unknown mode\n", badRequest);
        setFaults({ *mode, std::chrono::milliseconds(body->get("delay_ms", 0).asInt64()), body->get("lost_replies", 0).asUInt() });
    } else {
        return textResponse("no such path\n", notFound);
    }
    return textResponse("true");
}

}
