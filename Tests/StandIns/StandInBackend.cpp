#include <Tests/StandIns/StandInBackend.h>

#include <Tests/StandIns/BodyHash.h>
#include <Tests/StandIns/Json.h>

#include <LibModel/Error.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace StandIns {

using namespace Transport;

static constexpr Duration announceRetry = 250ms;
static constexpr Duration restartRetry = 50ms;
static constexpr Duration drainCheckInterval = 20ms;
static constexpr double coldStartFactor = 3;
// The largest that fulmard may be set to take.
static constexpr uint64_t largestBody = 64u << 20;
static constexpr uint16_t serviceUnavailable = 503;
static constexpr uint16_t internalError = 500;
static constexpr uint16_t badRequest = 400;

static Duration milliseconds(const Json::Value& object, const char* name, Duration fallback)
{
    return object.isMember(name) ? Duration(std::chrono::milliseconds(object[name].asInt64())) : fallback;
}

static void readFaults(const Json::Value& object, BackendFaults& faults)
{
    faults.slowFactor = object.get("slow_factor", 1.0).asDouble();
    faults.isStuck = object.get("stuck", false).asBool();
    faults.errorShare = object.get("error_share", 0.0).asDouble();
    faults.cutShare = object.get("cut_share", 0.0).asDouble();
    faults.wrongShare = object.get("wrong_share", 0.0).asDouble();
    faults.shedShare = object.get("shed_share", 0.0).asDouble();
    faults.silencesConnections = object.get("silent", false).asBool();
    faults.crashMarker = object.get("crash_marker", "").asString();
    faults.flapPeriod = milliseconds(object, "flap_period_ms", faults.flapPeriod);
    faults.crashTime = milliseconds(object, "crash_down_ms", faults.crashTime);
}

std::optional<BackendFaults> parseFaults(const std::string& text)
{
    auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    BackendFaults faults;
    try {
        readFaults(*object, faults);
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return faults;
}

StandInBackend::StandInBackend(EventLoop& loop, StandInBackendSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop)
    , m_endpoint(m_settings.listen)
    , m_random(m_settings.seed)
{
    start();
}

StandInBackend::~StandInBackend()
{
    m_loop.cancelTimer(m_announceTimer);
    m_loop.cancelTimer(m_lifeTimer);
    m_loop.cancelTimer(m_warmTimer);
    for (auto& [id, call] : m_calls)
        m_loop.cancelTimer(call.timer);
}

void StandInBackend::start()
{
    HttpServerOptions options;
    options.listen = m_endpoint;
    options.maximumBodyBytes = largestBody;
    options.onRequest = [this](ServerRequestId id, HttpRequest request) { handle(id, std::move(request)); };
    options.onRequestGone = [this](ServerRequestId id) { gone(id); };
    m_server = std::make_unique<HttpServer>(m_loop, std::move(options));
    m_endpoint = m_server->endpoint();
    m_startedAt = m_loop.now();
    m_phase = m_settings.coldStart > Duration(0) ? BackendPhase::Warming : BackendPhase::Serving;
    if (m_phase == BackendPhase::Warming) {
        m_warmTimer = m_loop.callAt(m_startedAt + m_settings.coldStart, [this] {
            m_phase = BackendPhase::Serving;
            announce();
        });
    }
    announce();
}

void StandInBackend::handle(ServerRequestId id, HttpRequest request)
{
    if (carriesSecret(request))
        m_ledger.recordLeak(request.target);
    auto path = pathOf(request.target);
    if (path == "/health" || path == "/ledger" || path == "/fault") {
        handleOwn(id, request);
        return;
    }

    m_knownPorts.insert(request.peerPort);
    // The peer's bytes were lost on the way: nothing is run, and nothing is answered.
    if (m_silentPorts.contains(request.peerPort)) {
        m_lostRequests.emplace(id, request.peerPort);
        return;
    }
    auto faults = activeFaults();
    if (!faults.crashMarker.empty() && request.body.find(faults.crashMarker) != std::string::npos) {
        auto header = findHeader(request.headers, "fulmar-request-id");
        recordRun(header ? std::string(*header) : "crash-" + std::to_string(++m_generatedIds), request);
        crash();
        return;
    }
    if (happens(faults.shedShare)) {
        m_server->respond(id, { serviceUnavailable, { { "fulmar-outcome", "not-run" }, { "retry-after", "1" } }, "" });
        return;
    }
    enqueue(id, std::move(request));
}

void StandInBackend::handleOwn(ServerRequestId id, const HttpRequest& request)
{
    auto path = pathOf(request.target);
    if (path == "/health") {
        Json::Value health;
        health["status"] = "ok";
        health["phase"] = std::string(nameOf(m_phase));
        m_server->respond(id, jsonResponse(health));
        return;
    }
    if (path == "/ledger") {
        m_server->respond(id, jsonResponse(m_ledger.toJson()));
        return;
    }
    auto faults = parseFaults(request.body);
    if (!faults) {
        m_server->respond(id, textResponse("not a JSON object\n", badRequest));
        return;
    }
    setFaults(*faults);
    m_server->respond(id, jsonResponse(Json::Value(Json::objectValue)));
}

void StandInBackend::setFaults(BackendFaults faults)
{
    m_silentPorts = faults.silencesConnections ? m_knownPorts : std::set<uint16_t> {};
    m_faults = std::move(faults);
    m_faultsSince = m_loop.now();
}

BackendFaults StandInBackend::activeFaults() const
{
    if (m_faults.flapPeriod <= Duration(0))
        return m_faults;
    auto inPeriod = (m_loop.now() - m_faultsSince) % m_faults.flapPeriod;
    return inPeriod < m_faults.flapPeriod / 2 ? m_faults : BackendFaults {};
}

bool StandInBackend::happens(double share) { return std::uniform_real_distribution<double>()(m_random) < share; }

void StandInBackend::enqueue(ServerRequestId id, HttpRequest request)
{
    auto header = findHeader(request.headers, "fulmar-request-id");
    Call call;
    call.requestId = header ? std::string(*header) : m_settings.id.value() + "-" + std::to_string(++m_generatedIds);
    call.request = std::move(request);
    m_calls.emplace(id, std::move(call));
    m_queue.push_back(id);
    startQueued();
}

void StandInBackend::startQueued()
{
    while (m_running < m_settings.slots && !m_queue.empty()) {
        auto id = m_queue.front();
        m_queue.pop_front();
        run(id, m_calls.at(id));
    }
}

void StandInBackend::run(ServerRequestId id, Call& call)
{
    recordRun(call.requestId, call.request);
    ++m_running;
    call.isRunning = true;
    if (activeFaults().isStuck)
        return;
    call.timer = m_loop.callAt(m_loop.now() + serviceTime(), [this, id] { finish(id); });
}

void StandInBackend::recordRun(const std::string& requestId, const HttpRequest& request)
{
    m_ledger.recordRun(requestId, request.target);
    auto send = findHeader(request.headers, sendIdHeader);
    if (!send)
        return;
    std::string tenant;
    for (const auto& header : request.headers) {
        if (header.name == tenantHeader)
            tenant += (tenant.empty() ? "" : ", ") + header.value;
    }
    m_ledger.recordSend(std::string(*send), tenant);
}

bool StandInBackend::carriesSecret(const HttpRequest& request) const
{
    auto contains = [this](const std::string& text) { return text.find(m_settings.secretMarker) != std::string::npos; };
    if (m_settings.secretMarker.empty())
        return false;
    return contains(request.target) || contains(request.body)
        || std::ranges::any_of(request.headers, [&](const HttpHeader& header) { return contains(header.name) || contains(header.value); });
}

Duration StandInBackend::serviceTime()
{
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    auto sigma = m_settings.spread;
    auto mean = std::max<double>(1, m_settings.meanServiceTime.count());
    std::lognormal_distribution<double> distribution(std::log(mean) - sigma * sigma / 2, sigma);
    auto time = distribution(m_random) * activeFaults().slowFactor;
    if (m_phase == BackendPhase::Warming)
        time *= coldStartFactor;
    return Duration(static_cast<Duration::rep>(time));
}

HttpResponse StandInBackend::answerFor(const Call& call, const std::string& requestId) const
{
    Json::Value body;
    body["request_id"] = requestId;
    body["body_hash"] = bodyHash(call.request.body);
    body["backend"] = m_settings.id.value();
    body["service"] = m_settings.service.value();
    body["target"] = call.request.target;
    if (auto bytes = findHeader(call.request.headers, answerBytesHeader))
        body["padding"] = std::string(std::strtoull(std::string(*bytes).c_str(), nullptr, 10), 'x');
    auto response = jsonResponse(body);
    response.headers.push_back({ "fulmar-request-id", requestId });
    return response;
}

void StandInBackend::finish(ServerRequestId id)
{
    auto call = std::move(m_calls.extract(id).mapped());
    --m_running;
    auto faults = activeFaults();
    auto isWrong = happens(faults.wrongShare);
    auto response = answerFor(call, isWrong ? m_previousRequestId : call.requestId);
    m_previousRequestId = call.requestId;
    if (happens(faults.errorShare))
        response = textResponse("failed\n", internalError);
    if (happens(faults.cutShare)) {
        auto half = response.body.size() / 2;
        m_server->cut(id, std::move(response), half);
    } else {
        m_server->respond(id, std::move(response));
    }
    startQueued();
}

void StandInBackend::gone(ServerRequestId id)
{
    // The port may come back with a connection that works.
    if (auto lost = m_lostRequests.extract(id); !lost.empty())
        m_silentPorts.erase(lost.mapped());
    auto entry = m_calls.extract(id);
    if (entry.empty())
        return;
    m_loop.cancelTimer(entry.mapped().timer);
    if (entry.mapped().isRunning)
        --m_running;
    std::erase(m_queue, id);
    startQueued();
}

// Loses every connection and request, and starts anew after a while.
void StandInBackend::crash()
{
    auto downTime = m_faults.crashTime;
    for (auto& [id, call] : m_calls)
        m_loop.cancelTimer(call.timer);
    m_calls.clear();
    m_queue.clear();
    m_running = 0;
    m_knownPorts.clear();
    m_silentPorts.clear();
    m_lostRequests.clear();
    m_loop.cancelTimer(m_announceTimer);
    m_loop.cancelTimer(m_warmTimer);
    m_phase = BackendPhase::Gone;
    m_server.reset();
    m_settings.incarnation = m_settings.incarnation.next();
    m_lifeTimer = m_loop.callAt(m_loop.now() + downTime, [this] { restart(); });
}

void StandInBackend::restart()
{
    try {
        start();
    } catch (const Error&) {
        // Another connection may hold the port for a moment.
        m_lifeTimer = m_loop.callAt(m_loop.now() + restartRetry, [this] { restart(); });
    }
}

ClientRequest StandInBackend::announcement(const std::string& method) const
{
    ClientRequest request;
    request.to = *m_settings.control;
    request.request.method = method;
    request.request.target = "/v1/backends/" + m_settings.id.value();
    request.deadline = m_settings.lapse / 3;
    return request;
}

void StandInBackend::announce()
{
    if (!m_settings.control || m_phase == BackendPhase::Gone)
        return;
    Json::Value body;
    body["service"] = m_settings.service.value();
    body["profile"] = m_settings.profile.value();
    body["endpoint"] = m_endpoint.toString();
    body["incarnation"] = Json::UInt64(m_settings.incarnation.value());
    body["slots"] = m_settings.slots;
    body["weight"] = m_settings.weight;
    body["phase"] = std::string(nameOf(m_phase));
    auto request = announcement("PUT");
    request.request.headers = { { "content-type", "application/json" } };
    request.request.body = toText(body);

    m_loop.cancelTimer(m_announceTimer);
    m_announceTimer = m_loop.callAt(m_loop.now() + m_settings.lapse / 3, [this] { announce(); });
    ++m_announcementsInFlight;
    m_client.send(std::move(request), [this](const ClientResult& result) {
        --m_announcementsInFlight;
        bool isAccepted = result.status == ClientStatus::Answered && result.response.status < 300;
        if (isAccepted || m_phase == BackendPhase::Gone)
            return;
        m_loop.cancelTimer(m_announceTimer);
        m_announceTimer = m_loop.callAt(m_loop.now() + std::min<Duration>(announceRetry, m_settings.lapse / 3), [this] { announce(); });
    });
}

void StandInBackend::drain(std::function<void()> onDone)
{
    m_onDrained = std::move(onDone);
    m_phase = BackendPhase::Draining;
    m_loop.cancelTimer(m_warmTimer);
    announce();
    m_loop.cancelTimer(m_lifeTimer);
    m_lifeTimer = m_loop.callAt(m_loop.now() + m_settings.drainTime, [this] { finishDrain(); });
}

void StandInBackend::finishDrain()
{
    bool isBusy = !m_calls.empty();
    if (!isBusy)
        m_loop.cancelTimer(m_announceTimer);
    // An announcement that is still on its way could arrive after the farewell.
    if (isBusy || m_announcementsInFlight != 0) {
        m_lifeTimer = m_loop.callAt(m_loop.now() + drainCheckInterval, [this] { finishDrain(); });
        return;
    }
    m_phase = BackendPhase::Gone;
    m_server->stopAccepting();
    if (!m_settings.control) {
        m_onDrained();
        return;
    }
    m_client.send(announcement("DELETE"), [this](const ClientResult&) { m_onDrained(); });
}

}
