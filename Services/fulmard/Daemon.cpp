#include <Services/fulmard/Daemon.h>

#include <LibControl/Compression.h>
#include <LibDecision/NodeState.h>
#include <Services/fulmard/ClientOutcome.h>
#include <Services/fulmard/ProblemDetails.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <sys/resource.h>

namespace Fulmard {

namespace {

    constexpr auto messagePath = "/v1/message";
    constexpr auto metricsPath = "/metrics";
    constexpr auto readinessPath = "/v1/ready";
    constexpr std::string_view backendsPath = "/v1/backends/";
    constexpr auto signatureHeader = "fulmar-signature";
    constexpr auto runHeader = "fulmar-run";
    constexpr auto sidecarHeader = "fulmar-sidecar";
    constexpr auto messageDeadline = std::chrono::seconds(1);
    constexpr uint32_t connectionsPerPeer = 2;
    constexpr auto peerIdleTimeout = std::chrono::seconds(10);
    constexpr uint32_t probeConnections = 1;
    // At the end of a process: callers close their side once they have read an answer that closes the connection.
    constexpr auto longestLinger = std::chrono::milliseconds(500);
    // Time for the last answers if the process has used up its time to leave.
    constexpr auto shortestDelivery = std::chrono::milliseconds(200);
    constexpr auto deliveryCheckInterval = std::chrono::milliseconds(10);

    // What isn't given to listeners, a quarter at least, stays for connections to peers, backend servers and the store.
    constexpr double callersDescriptorShare = 0.4;
    constexpr double controlDescriptorShare = 0.3;
    constexpr double sideDescriptorShare = 0.02;
    constexpr size_t fewestConnections = 8;
    // Memory comes free as requests end.
    constexpr Duration memoryRetryAfter = std::chrono::seconds(1);

    uint64_t budgetBytes(const LimitSettings& limits)
    {
        return limits.memoryBytes > 0 ? limits.memoryBytes : Transport::budgetOfMachine(Transport::systemMemoryBytes());
    }

    uint64_t descriptorLimit(const LimitSettings& limits)
    {
        rlimit system {};
        getrlimit(RLIMIT_NOFILE, &system);
        return limits.descriptors > 0 ? std::min<uint64_t>(limits.descriptors, system.rlim_cur) : system.rlim_cur;
    }

    // Tells a peer that its run order wasn't run.
    Transport::HttpResponse refusalOfRun(Reason reason, const std::string& step, const InstanceId& self)
    {
        Control::RunResult result;
        result.outcome = Outcome::NotRun;
        result.reason = reason;
        result.step = step;
        result.peer = self.value();
        return { statusOf(Outcome::NotRun, reason), { { "content-type", "text/plain; charset=utf-8" }, { sidecarHeader, Control::encodeRunResult(result) } }, std::string(nameOf(reason)) + "\n" };
    }

    // The answer to a health check proves nothing beyond its status and what the backend server says of its own state, so
    // it is read without the edge's other headers.
    Decision::RunReport probeReportOf(const Transport::ClientResult& result, const EdgeSettings& edge)
    {
        EdgeSettings probeEdge { .requestId = "" };
        probeEdge.requestLimit = edge.requestLimit;
        probeEdge.leaving = edge.leaving;
        return runReportOf(result, probeEdge, RequestId());
    }

}

Daemon::Daemon(Transport::EventLoop& loop, DaemonOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_observability(m_options.settings, m_options.observability)
    , m_memory(std::make_shared<Transport::MemoryBudget>(budgetBytes(m_options.settings.limits)))
    , m_callersServer(loop, callersOptions())
    , m_controlServer(loop, controlOptions())
    , m_client(loop, { .memory = m_memory })
    , m_store(m_options.platform.openStore(loop))
    , m_channel(m_options.settings.fleetKey, m_options.settings.instance, m_options.start, m_controlServer.endpoint())
    , m_orders(m_options.settings.fleetKey, m_options.settings.instance, m_options.start, m_controlServer.endpoint())
    , m_reader(m_options.randomSeed, m_options.settings.edge)
    , m_sidecarCalls(m_client, m_observability, m_options.settings.instance, m_options.settings.limits, m_options.settings.edge, m_memory, [this](Decision::Input input) { m_driver.handle(std::move(input)); })
    , m_ingressCalls(ingressParties())
    , m_forwardedOrders(m_client, m_options.settings.limits.answerBodyBytes, [this](Transport::ServerRequestId id, Transport::HttpResponse response) { m_controlServer.respond(id, std::move(response)); })
    , m_driver(loop, nodeOptions(), [this](const Decision::Effect& effect) { carryOut(effect); })
    , m_operatorApi(m_options.settings.operatorKey, m_memory->total(), m_driver, m_observability.journal(), [this] { return m_loop.now(); })
{
    m_state = &node().state();
    openSideServers();
}

Transport::HttpServerOptions Daemon::serverOptions(const Endpoint& listen, double descriptorShare)
{
    Transport::HttpServerOptions options;
    options.listen = listen;
    options.memory = m_memory;
    options.maximumConnections = std::max(fewestConnections, static_cast<size_t>(descriptorShare * static_cast<double>(descriptorLimit(m_options.settings.limits))));
    options.accountHeader = CallerHeader::account;
    options.onConnectionEnd = [this, listen](const Transport::ConnectionEnd& end) { logConnectionEnd(listen, end); };
    return options;
}

// The published table's limits, or those of the settings.
Transport::ServerLimits Daemon::limitsForCallers() const
{
    Transport::ServerLimits limits;
    limits.bodyBytes = m_options.settings.limits.requestBodyBytes;
    const auto* table = m_state ? m_state->routes().table() : nullptr;
    if (!table)
        return limits;
    limits.headBytes = table->limits.headerBytes;
    limits.bodyBytes = table->limits.bodyBytes;
    limits.headTimeout = table->limits.headerTimeout;
    limits.idleTimeout = table->limits.idleTimeout;
    return limits;
}

void Daemon::logConnectionEnd(const Endpoint& listener, const Transport::ConnectionEnd& end)
{
    bool isRoutine = end.reason == Transport::ConnectionEndReason::IdleTimeout;
    Telemetry::LogRecord record { isRoutine ? Telemetry::LogLevel::Debug : Telemetry::LogLevel::Warn, "connection-ended", {} };
    record.fields = {
        { "reason", std::string(nameOf(end.reason)) },
        { "phase", std::string(nameOf(end.phase)) },
        { "peer", end.address },
        { "account", end.account },
        { "bytes", std::to_string(end.heldBytes) },
        { "listener", listener.toString() },
        { "memoryHeld", std::to_string(m_memory->held()) },
    };
    m_observability.log().write(m_loop.now(), std::move(record));
}

Transport::HttpServerOptions Daemon::callersOptions()
{
    auto options = serverOptions(m_options.settings.callers, callersDescriptorShare);
    options.maximumBodyBytes = m_options.settings.limits.requestBodyBytes;
    options.limits = [this] { return limitsForCallers(); };
    options.onRequest = [this](Transport::ServerRequestId id, Transport::HttpRequest request) { m_ingressCalls.arrive(id, std::move(request)); };
    options.onRequestGone = [this](Transport::ServerRequestId id) { m_ingressCalls.callerGone(id); };
    options.onBodyTooLarge = [this] {
        auto limit = std::to_string(limitsForCallers().bodyBytes) + " bytes are allowed";
        return makeProblemResponse({ Outcome::NotRun, Reason::BodyTooLarge, "read-request", limit, Duration::zero(), "" }, m_options.settings.edge.statuses);
    };
    options.onNoMemory = [this] {
        return makeProblemResponse({ Outcome::NotRun, Reason::Overloaded, "read-request", "there is no memory for the body", memoryRetryAfter, "" }, m_options.settings.edge.statuses);
    };
    return options;
}

Transport::HttpServerOptions Daemon::controlOptions()
{
    auto options = serverOptions(m_options.settings.control, controlDescriptorShare);
    options.maximumBodyBytes = std::max<uint64_t>(m_options.settings.limits.requestBodyBytes, Control::maximumMessageBytes);
    options.onRequest = [this](Transport::ServerRequestId id, Transport::HttpRequest request) { handleControlRequest(id, std::move(request)); };
    options.onRequestGone = [this](Transport::ServerRequestId id) { handleControlGone(id); };
    // Peers forward what their callers may send. They take care of idle connections and timeouts themselves.
    options.limits = [this] {
        Transport::ServerLimits limits;
        limits.bodyBytes = std::max<uint64_t>(limitsForCallers().bodyBytes, Control::maximumMessageBytes);
        return limits;
    };
    options.onNoMemory = [this] { return refusalOfRun(Reason::Overloaded, "read-request", m_options.settings.instance); };
    return options;
}

void Daemon::openSideServers()
{
    for (const auto& endpoint : { m_options.settings.announcements, m_options.settings.readiness }) {
        if (!endpoint)
            continue;
        auto index = m_sideServers.size();
        auto options = serverOptions(*endpoint, sideDescriptorShare);
        options.onRequest = [this, index](Transport::ServerRequestId id, const Transport::HttpRequest& request) {
            m_sideServers[index]->respond(id, answerSide(request));
        };
        m_sideServers.push_back(std::make_unique<Transport::HttpServer>(m_loop, std::move(options)));
    }
}

Decision::NodeOptions Daemon::nodeOptions() const
{
    const auto& settings = m_options.settings;
    Decision::NodeOptions options;
    options.self.instance = settings.instance;
    options.self.incarnation = m_options.start;
    options.self.zone = settings.zone;
    options.self.region = settings.region;
    options.self.control = m_controlServer.endpoint();
    options.self.callers = m_callersServer.endpoint();
    options.seeds = settings.peers;
    options.randomSeed = m_options.randomSeed;
    options.leaveTimeout = settings.leaveTimeout;
    options.leaveNotice = settings.leaveNotice;
    options.concurrentCalls = settings.limits.concurrentCalls;
    options.routing = settings.routing;
    options.defaultProfile = settings.defaultProfile;
    options.tenants = settings.tenants;
    return options;
}

IngressCalls::Parties Daemon::ingressParties()
{
    return {
        m_client,
        m_sidecarCalls,
        m_orders,
        m_reader,
        m_options.settings.instance,
        [this](Transport::ServerRequestId id, Transport::HttpResponse response) { m_callersServer.respond(id, std::move(response)); },
        [this](Decision::Input input) { m_driver.handle(std::move(input)); },
        [this] { return m_loop.now(); },
        m_observability,
        m_options.settings.limits.answerBodyBytes,
        m_options.settings.edge,
        m_options.settings.service,
        [this] { return node().state().routes().tenants().hasTenants(); },
    };
}

void Daemon::start()
{
    m_driver.start();
}

void Daemon::leave()
{
    m_leaveRequestedAt = m_loop.now();
    m_callersServer.closeAfterAnswers();
    m_driver.handle(Decision::LeaveRequested {});
}

void Daemon::reload(const std::function<Settings()>& read)
{
    Telemetry::LogRecord record { Telemetry::LogLevel::Info, "settings-reloaded", {} };
    try {
        auto settings = read();
        m_driver.handle(Decision::DefaultsChanged { settings.defaultProfile });
        record.fields = { { "outcome", "in-force" }, { "evidence", "the default profile is in force; listeners and peers stay until a restart" } };
    } catch (const Model::Error& error) {
        record.level = Telemetry::LogLevel::Error;
        record.fields = { { "outcome", "refused" }, { "step", error.step() }, { "peer", error.peer() }, { "evidence", error.what() } };
    }
    m_observability.log().write(m_loop.now(), std::move(record));
}

void Daemon::logUnfinished()
{
    Telemetry::LogRecord record { Telemetry::LogLevel::Warn, "leave-forced", {} };
    record.fields = { { "callsCut", std::to_string(m_ingressCalls.inFlight()) }, { "runsCut", std::to_string(m_sidecarCalls.inFlight()) } };
    m_observability.log().write(m_loop.now(), std::move(record));
}

void Daemon::handleControlRequest(Transport::ServerRequestId id, Transport::HttpRequest request)
{
    if (Transport::findHeader(request.headers, runHeader))
        handleRunOrder(id, std::move(request));
    else if (request.method == "POST" && request.target == messagePath)
        handleMessage(id, request);
    else if (request.target.starts_with(backendsPath))
        m_controlServer.respond(id, answerAnnouncement(request));
    else if (request.method == "GET" && request.target == readinessPath)
        m_controlServer.respond(id, readiness());
    else if (request.method == "GET" && request.target == metricsPath)
        m_controlServer.respond(id, { 200, { { "content-type", "text/plain; version=0.0.4" } }, metricsText() });
    else
        handleOperatorCall(id, request);
}

void Daemon::handleRunOrder(Transport::ServerRequestId id, Transport::HttpRequest request)
{
    try {
        auto order = m_orders.verify(*Transport::findHeader(request.headers, runHeader));
        if (m_orders.mustForward(order))
            return m_forwardedOrders.forward(id, order, std::move(request));
        m_orders.accept(order);
        std::string traceparent(Transport::findHeader(request.headers, "traceparent").value_or(""));
        auto shared = std::make_shared<const Transport::HttpRequest>(std::move(request));
        auto call = m_sidecarCalls.arrive(order, std::move(shared), traceparent, [this, id](SidecarReply reply) { respondRun(id, std::move(reply)); });
        // The request may have come before, over a connection that no longer counts.
        std::erase_if(m_remoteRuns, [&](const auto& run) { return run.second == call; });
        if (m_sidecarCalls.isInFlight(call))
            m_remoteRuns.emplace(id, call);
    } catch (const Control::ControlError& error) {
        m_controlServer.respond(id, refusalOfRun(Reason::BadRequest, error.step(), m_options.settings.instance));
    }
}

void Daemon::respondRun(Transport::ServerRequestId id, SidecarReply reply)
{
    m_remoteRuns.erase(id);
    if (reply.result.outcome != Outcome::Answered)
        reply.response = { statusOf(reply.result.outcome, reply.result.reason), {}, "" };
    std::erase_if(reply.response.headers, [](const Transport::HttpHeader& header) { return header.name == "content-length"; });
    reply.response.headers.push_back({ sidecarHeader, Control::encodeRunResult(reply.result) });
    m_controlServer.respond(id, std::move(reply.response));
}

void Daemon::handleControlGone(Transport::ServerRequestId id)
{
    m_forwardedOrders.senderGone(id);
    auto run = m_remoteRuns.extract(id);
    if (run)
        m_sidecarCalls.cancel(run.mapped());
}

void Daemon::handleMessage(Transport::ServerRequestId id, const Transport::HttpRequest& request)
{
    try {
        auto signature = Transport::findHeader(request.headers, signatureHeader).value_or("");
        auto message = m_channel.open({ request.body, std::string(signature) });
        m_driver.handle(Decision::MessageReceived { std::move(message) });
        m_controlServer.respond(id, { 204, {}, "" });
    } catch (const Control::ControlError& error) {
        respondControl(id, 403, error.what());
    }
}

Transport::HttpResponse Daemon::answerSide(const Transport::HttpRequest& request)
{
    if (request.target.starts_with(backendsPath))
        return answerAnnouncement(request);
    if (request.method == "GET" && request.target == readinessPath)
        return readiness();
    if (request.method == "GET" && request.target == metricsPath)
        return { 200, { { "content-type", "text/plain; version=0.0.4" } }, metricsText() };
    return makePlainResponse(404, "there is nothing at this path");
}

Transport::HttpResponse Daemon::readiness() const
{
    const auto& state = node().state();
    if (state.isLeaving())
        return makePlainResponse(503, "leaving");
    if (state.routes().isUsed() && !state.routes().table())
        return makePlainResponse(503, "no routes are known yet");
    return makePlainResponse(200, "ready");
}

Transport::HttpResponse Daemon::answerAnnouncement(const Transport::HttpRequest& request)
{
    auto backend = request.target.substr(backendsPath.size());
    try {
        if (request.method == "DELETE")
            return withdraw(BackendId(backend), request.peerAddress);
        if (request.method != "PUT")
            return makePlainResponse(405, "announcements are made by PUT and withdrawn by DELETE");
        auto announcement = m_options.platform.readAnnouncement(backend, request.body);
        if (announcement.endpoint.address != request.peerAddress)
            return makePlainResponse(403, "the endpoint's address differs from the sender's address " + request.peerAddress);
        m_driver.handle(Decision::BackendAnnounced { std::move(announcement) });
        return { 204, {}, "" };
    } catch (const Model::Error& error) {
        Telemetry::LogRecord record { Telemetry::LogLevel::Warn, "announcement-refused", {} };
        record.fields = { { "step", error.step() }, { "backend", backend }, { "peer", request.peerAddress }, { "evidence", error.what() } };
        m_observability.log().write(m_loop.now(), std::move(record));
        return makePlainResponse(400, error.what());
    }
}

Transport::HttpResponse Daemon::withdraw(const BackendId& backend, const std::string& peerAddress)
{
    auto known = node().state().localBackends().find(backend);
    const auto& latestIncarnation = m_options.platform.latestIncarnation;
    if (!known && !latestIncarnation && !node().state().registry().find(backend))
        return makePlainResponse(404, "backend server " + backend.value() + " hasn't announced itself to this process");
    if (known && known->announcement.endpoint.address != peerAddress)
        return makePlainResponse(403, "the backend server's address differs from the sender's address " + peerAddress);
    m_driver.handle(Decision::BackendWithdrawn { backend, latestIncarnation ? std::optional(latestIncarnation()) : std::nullopt });
    return { 204, {}, "" };
}

void Daemon::handleOperatorCall(Transport::ServerRequestId id, const Transport::HttpRequest& request)
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    m_controlServer.respond(id, m_operatorApi.handle(request, std::chrono::duration_cast<std::chrono::seconds>(now).count()));
}

void Daemon::setMemoryMetrics()
{
    using Telemetry::Gauge;
    using Telemetry::Total;
    using Transport::ConnectionEndReason;
    using Transport::MemoryKind;
    auto& metrics = m_observability.metrics();
    auto set = [&metrics](Gauge gauge, uint64_t value) { metrics.set(gauge, static_cast<double>(value)); };
    set(Gauge::MemoryLimit, m_memory->total());
    set(Gauge::MemoryArriving, m_memory->held(MemoryKind::Arriving));
    set(Gauge::MemoryRequests, m_memory->held(MemoryKind::Requests));
    set(Gauge::MemoryAnswers, m_memory->held(MemoryKind::Answers));
    set(Gauge::MemoryUnsent, m_memory->held(MemoryKind::Unsent));
    set(Gauge::MemoryKept, m_memory->held(MemoryKind::Kept));
    set(Gauge::CallerConnections, m_callersServer.openConnections());
    set(Gauge::ControlConnections, m_controlServer.openConnections());

    struct TotalOfReason {
        ConnectionEndReason reason;
        Total total;
    };
    constexpr std::array totals {
        TotalOfReason { ConnectionEndReason::HeadTooLong, Total::HeadsTooLong },
        TotalOfReason { ConnectionEndReason::HeadTimeout, Total::HeadTimeouts },
        TotalOfReason { ConnectionEndReason::IdleTimeout, Total::IdleTimeouts },
        TotalOfReason { ConnectionEndReason::BodyStalled, Total::BodiesStalled },
        TotalOfReason { ConnectionEndReason::AnswerStalled, Total::AnswersStalled },
        TotalOfReason { ConnectionEndReason::MemoryRefused, Total::MemoryRefusals },
        TotalOfReason { ConnectionEndReason::MemoryShed, Total::MemorySheds },
        TotalOfReason { ConnectionEndReason::ConnectionShed, Total::ConnectionSheds },
    };
    for (const auto& [reason, total] : totals) {
        auto count = m_callersServer.ends(reason) + m_controlServer.ends(reason);
        std::ranges::for_each(m_sideServers, [&count, reason = reason](const auto& server) { count += server->ends(reason); });
        metrics.set(total, count);
    }
}

std::string Daemon::metricsText()
{
    using Telemetry::Gauge;
    using Telemetry::Total;
    auto& metrics = m_observability.metrics();
    const auto& state = node().state();
    const auto& membership = state.membership();
    auto unreachable = std::ranges::count_if(membership.liveMembers(), [&](const InstanceId& member) { return !membership.isReachable(member); });
    metrics.set(Gauge::MembersAlive, static_cast<double>(membership.liveMembers().size()));
    metrics.set(Gauge::MembersUnreachable, static_cast<double>(unreachable));
    metrics.set(Gauge::BackendsKnown, static_cast<double>(state.registry().size()));
    metrics.set(Gauge::BackendsEjected, static_cast<double>(m_operatorApi.countEjected()));
    metrics.set(Gauge::CallsInFlight, static_cast<double>(m_ingressCalls.inFlight()));
    metrics.set(Gauge::RunsInFlight, static_cast<double>(m_sidecarCalls.inFlight()));
    metrics.set(Gauge::ConnectionsOpen, static_cast<double>(m_client.counters().connectionsOpen));
    metrics.set(Gauge::PlatformReachable, state.configuration().isPlatformReachable() ? 1 : 0);
    metrics.set(Gauge::KeptAnswers, static_cast<double>(m_sidecarCalls.keptAnswers()));
    metrics.set(Gauge::RoutesVersion, static_cast<double>(state.routes().version().value()));
    metrics.set(Gauge::RoutesNewestVersionHeard, static_cast<double>(state.routes().newestHeard().value()));
    metrics.set(Gauge::RoutesWatchSeconds, std::chrono::duration<double>(state.routes().watchAge(m_loop.now())).count());
    metrics.set(Gauge::RoutesUnusableEntries, static_cast<double>(state.routes().problems().size()));
    metrics.set(Gauge::ConfigurationProofAge, proofAgeSeconds());

    setMemoryMetrics();

    const auto& channel = m_channel.counters();
    metrics.set(Total::ControlMessagesSent, channel.messagesSent);
    metrics.set(Total::ControlBytesSent, channel.bytesSent);
    metrics.set(Total::ControlMessagesReceived, channel.messagesReceived);
    metrics.set(Total::ControlBytesReceived, channel.bytesReceived);
    metrics.set(Total::ControlMessagesRefused, std::accumulate(channel.refused.begin(), channel.refused.end(), uint64_t(0)));
    metrics.set(Total::ConnectionsOpened, m_client.counters().connectionsOpened);
    metrics.set(Total::ConnectionsReused, m_client.counters().connectionsReused);
    const auto& arrivals = state.admission().arrivals();
    metrics.set(Total::FirstArrivals, arrivals.first);
    metrics.set(Total::RetryArrivals, arrivals.retries);
    metrics.set(Total::CountedArrivals, arrivals.countedAsRetry);
    const auto& crossings = state.router().crossings();
    metrics.set(Total::ZoneStays, crossings.stayed);
    metrics.set(Total::ZoneCrossings, crossings.left);
    metrics.set(Total::ZoneLacks, crossings.lacking);
    metrics.set(Total::OrdersForwarded, m_forwardedOrders.total());
    const auto& holder = state.quotas().holder();
    metrics.set(Gauge::QuotaPartitionsHeld, static_cast<double>(holder.heldCount()));
    metrics.set(Total::QuotaTokensGranted, holder.counters().tokensGranted + holder.counters().tokensGrantedAhead);
    metrics.set(Total::QuotaTokensRefused, holder.counters().tokensRefused);
    const auto& quotas = state.quotas().requester().counters();
    metrics.set(Total::QuotaCallsPassed, quotas.passed);
    metrics.set(Total::QuotaCallsExceeded, quotas.exceeded);
    metrics.set(Total::QuotaCallsUnavailable, quotas.unavailable);
    metrics.set(Total::QuotaQuestions, quotas.questions);
    metrics.set(Total::QuotaAnswers, quotas.answeredQuestions);
    metrics.set(Total::QuotaRoundTripMicroseconds, static_cast<uint64_t>(quotas.roundTrips / 1us));
    metrics.set(Total::QuotaQuestionsForwarded, quotas.forwardedQuestions);
    metrics.set(Total::LogLinesSuppressed, m_observability.log().suppressedLines());
    return metrics.prometheusText();
}

double Daemon::proofAgeSeconds() const
{
    constexpr double noProof = -1;
    const auto& proof = node().state().configurationProof();
    if (!proof.isActive())
        return 0;
    auto age = proof.age(m_loop.now());
    return age ? std::chrono::duration<double>(*age).count() : noProof;
}

void Daemon::respondControl(Transport::ServerRequestId id, uint16_t status, const std::string& text)
{
    m_controlServer.respond(id, makePlainResponse(status, text));
}

void Daemon::carryOut(const Decision::Effect& effect)
{
    std::visit([this]<typename T>(const T& value) {
        if constexpr (requires(IngressCalls & calls) { calls.carryOut(value); })
            m_ingressCalls.carryOut(value);
        else if constexpr (requires(SidecarCalls & calls) { calls.carryOut(value); })
            m_sidecarCalls.carryOut(value);
        else
            carryOut(value);
    },
        effect);
}

void Daemon::carryOut(const Decision::SendMessage& effect)
{
    auto sealed = m_channel.seal(effect.to, node().state().membership().self().incarnation, effect.body, node().state().routes().version());
    Transport::ClientRequest request;
    request.to = effect.to;
    request.request.method = "POST";
    request.request.target = messagePath;
    auto contentType = Control::isCompressed(sealed.text) ? "application/zlib" : "application/json";
    request.request.headers = Transport::HeaderList { Transport::HttpHeader { "content-type", contentType }, Transport::HttpHeader { signatureHeader, sealed.signature } };
    request.request.body = std::move(sealed.text);
    request.deadline = messageDeadline;
    request.maximumConnections = connectionsPerPeer;
    request.idleConnectionTimeout = peerIdleTimeout;
    m_client.send(std::move(request), [this, to = effect.to](const Transport::ClientResult& result) {
        if (result.status != Transport::ClientStatus::Answered)
            m_driver.handle(Decision::SendFailed { to });
    });
}

void Daemon::carryOut(const Decision::ProbeBackend& effect)
{
    Transport::ClientRequest request;
    request.to = effect.endpoint;
    request.request.method = "GET";
    request.request.target = effect.path;
    request.deadline = effect.timeout;
    request.maximumConnections = probeConnections;
    m_client.send(std::move(request), [this, backend = effect.backend](const Transport::ClientResult& result) {
        m_driver.handle(Decision::ProbeFinished { backend, probeReportOf(result, m_options.settings.edge) });
    });
}

void Daemon::carryOut(const Decision::CheckConnection& effect)
{
    m_client.checkConnection(effect.endpoint, [this, backend = effect.backend, incarnation = effect.incarnation] { m_driver.handle(Decision::ConnectionRefused { backend, incarnation }); });
}

void Daemon::carryOut(const Decision::DropConnections& effect)
{
    m_client.dropConnections(effect.endpoint);
}

void Daemon::carryOut(const Decision::CallPlatform& effect)
{
    m_store(effect.tag, effect.operation, [this](Decision::PlatformReply reply) { m_driver.handle(Decision::PlatformReplied { std::move(reply) }); });
}

void Daemon::carryOut(const Decision::RecordDecision& effect)
{
    m_observability.record(m_loop.now(), effect.event);
}

void Daemon::carryOut(const Decision::Leave&)
{
    m_callersServer.stopAccepting();
    m_controlServer.stopAccepting();
    auto now = m_loop.now();
    endWhenDelivered(now + longestLinger, std::max(m_leaveRequestedAt + m_options.settings.leaveTimeout, now + shortestDelivery));
}

// A process that ends resets its connections, and whoever reads slowly loses the rest of an answer.
void Daemon::endWhenDelivered(Instant lingerUntil, Instant end)
{
    auto now = m_loop.now();
    auto isWriting = m_callersServer.hasUnwrittenAnswers() || m_controlServer.hasUnwrittenAnswers();
    auto isLingering = m_callersServer.lingeringConnections() + m_controlServer.lingeringConnections() > 0 && now < lingerUntil;
    if ((isWriting || isLingering) && now < end) {
        m_loop.callAt(now + deliveryCheckInterval, [this, lingerUntil, end] { endWhenDelivered(lingerUntil, end); });
        return;
    }
    if (m_options.onLeft)
        m_options.onLeft();
}

}
