#include "FaultyLoad.h"

#include <LibDecision/NodeState.h>

#include <algorithm>
#include <limits>
#include <map>

namespace Testing {

namespace {

    constexpr Duration warmUp = 20s;
    constexpr Duration loadTime = 20s;
    constexpr size_t serviceCount = 2;

    struct ServiceLoad {
        std::string name;
        double requestsPerSecond;
    };

    const std::array<ServiceLoad, serviceCount> services { ServiceLoad { "desk", 40 }, ServiceLoad { "archive", 12 } };

    Route routeOf(const ServiceLoad& service)
    {
        Route route { service.name, service.name + ".example", "/", { { ServiceName(service.name), 1 } } };
        route.isIdempotent = true;
        route.timeout = 2s;
        route.latencyObjective = 300ms;
        route.maximumAttempts = 3;
        return route;
    }

    size_t serviceOf(size_t backend) { return backend < FaultyLoad::callingNodes ? 0 : 1; }

}

NodeFleetOptions FaultyLoad::fleetOptions()
{
    auto table = std::make_shared<RouteTable>();
    table->version = Revision(1);
    for (const auto& service : services) {
        table->services.push_back({ ServiceName(service.name), "/health", 100 });
        table->routes.push_back(routeOf(service));
    }
    NodeFleetOptions options { .routing = RoutingMode::RouteTable, .routes = table, .areBackendsTied = true };
    auto& profile = options.defaultProfile;
    profile.health.floor = 1;
    profile.capacity.queueLength = 12;
    profile.capacity.queueTimeout = 2s;
    profile.capacity.callerWait = 2s;
    profile.lifecycle.coldStart = 0s;
    profile.retries.reroutes = 30;
    profile.retries.budget = ratio;
    profile.retries.fleetExtra = extra;
    profile.retries.window = window;
    return options;
}

FaultyLoad::FaultyLoad(uint64_t seed, std::vector<LoadFault> faults)
    : m_faults(std::move(faults))
    , m_fleet(seed, nodeCount, fleetOptions())
    , m_random(seed + 1)
{
    m_fleet.fleet().cut = [this](size_t from, size_t to) { return m_cuts.contains({ from, to }); };
    for (size_t node = 0; node < nodeCount; ++node) {
        auto& backend = m_fleet.backends()[m_fleet.addBackend(services[serviceOf(node)].name, node)];
        backend.slots = 6;
        if (serviceOf(node) == 0) {
            backend.calledService = ServiceName(services[1].name);
            backend.callShare = 0.8;
        }
    }
}

void FaultyLoad::run()
{
    m_fleet.runFor(warmUp);
    m_loadBegan = m_fleet.fleet().now();
    m_loadEnds = m_loadBegan + loadTime;
    for (const auto& fault : m_faults)
        m_fleet.fleet().callLater(fault.at, [this, fault] { startFault(fault); });
    for (size_t service = 0; service < serviceCount; ++service)
        sendNext(service);
    m_fleet.runFor(loadTime + 3s);
}

void FaultyLoad::startFault(const LoadFault& fault)
{
    auto& fleet = m_fleet.fleet();
    auto node = fault.first % nodeCount;
    auto other = (node + 1 + fault.second % (nodeCount - 1)) % nodeCount;
    auto inject = [&](double BackendFaults::*share, double value) {
        for (size_t backend = 0; backend < nodeCount; ++backend) {
            if (serviceOf(backend) != fault.first % serviceCount)
                continue;
            faultsOf(backend).*share = value;
            fleet.callLater(fault.length, [this, backend, share] { faultsOf(backend).*share = BackendFaults {}.*share; });
        }
    };
    // Between a tenth and nine tenths.
    auto severity = 0.1 * static_cast<double>(1 + fault.second % 9);
    switch (fault.kind) {
    case LoadFaultKind::Kill:
        for (size_t victim = node; victim <= std::max(node, other); ++victim) {
            m_fleet.kill(victim);
            fleet.callLater(std::min<Duration>(fault.length, 1s), [this, victim] { m_fleet.restart(victim); });
        }
        break;
    case LoadFaultKind::Pause:
        m_fleet.pause(node, fault.length);
        break;
    case LoadFaultKind::CutOneWay:
        m_cuts.insert({ node, other });
        fleet.callLater(fault.length, [this, node, other] { m_cuts.erase(m_cuts.find({ node, other })); });
        break;
    case LoadFaultKind::Errors:
        inject(&BackendFaults::errorShare, severity);
        break;
    case LoadFaultKind::Cuts:
        inject(&BackendFaults::cutShare, severity);
        break;
    case LoadFaultKind::Sheds:
        inject(&BackendFaults::shedShare, severity);
        break;
    case LoadFaultKind::Misdirects:
        inject(&BackendFaults::misdirectedShare, severity);
        break;
    case LoadFaultKind::Slow:
        inject(&BackendFaults::slowFactor, 10 * severity);
        break;
    case LoadFaultKind::Burst:
        m_burst = 4;
        fleet.callLater(fault.length, [this] { m_burst = 1; });
        break;
    case LoadFaultKind::NamedLimit:
        nameLimits(fault);
        break;
    case LoadFaultKind::SaysItLeaves:
        faultsOf(node).notice.isLeaving = true;
        break;
    }
}

void FaultyLoad::nameLimits(const LoadFault& fault)
{
    auto now = m_fleet.fleet().now();
    auto service = fault.first % serviceCount;
    bool isLimited = std::ranges::any_of(m_namedLimits, [&](const NamedLimit& limit) { return serviceOf(limit.backend) == service && now <= limit.to; });
    if (isLimited)
        return;
    for (size_t backend = 0; backend < nodeCount; ++backend) {
        // All of the service, or two in three.
        bool isSpared = fault.second % 2 == 1 && backend % 3 == 0;
        if (serviceOf(backend) != service || isSpared)
            continue;
        auto limit = 0.8 * static_cast<double>(fault.second % 9);
        faultsOf(backend).notice.requestLimit = limit;
        m_fleet.fleet().callLater(fault.length, [this, backend] { faultsOf(backend).notice.requestLimit.reset(); });
        m_namedLimits.push_back({ backend, limit, now, now + fault.length });
    }
}

void FaultyLoad::sendNext(size_t service)
{
    auto& fleet = m_fleet.fleet();
    if (fleet.now() >= m_loadEnds)
        return;
    auto node = std::uniform_int_distribution<size_t>(0, nodeCount - 1)(m_random);
    auto request = m_fleet.makeRequest(services[service].name, Method::Get);
    request.remaining = 2s;
    m_fleet.send(node, std::move(request));
    std::exponential_distribution<double> gap(services[service].requestsPerSecond * (service == 0 ? m_burst : 1));
    fleet.callLater(Duration(static_cast<int64_t>(gap(m_random) * 1e6)), [this, service] { sendNext(service); });
}

double FaultyLoad::largestRetryExcess() const
{
    auto worst = -extra;
    for (const auto& service : services) {
        ServiceName name(service.name);
        std::vector<Instant> requests;
        for (const auto& request : m_fleet.requests()) {
            if (!request.info.parent && request.info.service == name)
                requests.push_back(request.sentAt);
        }
        for (const auto& arrival : m_fleet.arrivals()) {
            if (arrival.isRepeat && arrival.service == name)
                worst = std::max(worst, excessIn(name, requests, arrival.at));
        }
    }
    return worst;
}

double FaultyLoad::excessIn(const ServiceName& service, const std::vector<Instant>& requests, Instant end) const
{
    auto repeats = std::ranges::count_if(m_fleet.arrivals(), [&](const BackendArrival& arrival) {
        return arrival.isRepeat && arrival.service == service && arrival.at > end - window && arrival.at <= end;
    });
    // A repeat may belong to a request of this window, of the one before it, or of the one half a window before it.
    auto requestsBefore = [&](Instant windowEnd) {
        return std::ranges::count_if(requests, [&](Instant at) { return at > windowEnd - window && at <= windowEnd; });
    };
    auto allowedFor = std::max({ requestsBefore(end), requestsBefore(end - window / 2), requestsBefore(end - window) });
    return static_cast<double>(repeats) - ratio * static_cast<double>(allowedFor) - extra;
}

std::vector<Instant> FaultyLoad::countedArrivals(const NamedLimit& limit) const
{
    // A process counts once it has passed on an answer that named the limit this long ago.
    constexpr Duration lag = 500ms;
    std::map<std::pair<size_t, uint32_t>, Instant> toldAt;
    for (const auto& told : m_fleet.passedOnNotices()) {
        if (told.backend == limit.backend && told.notice.requestLimit && told.at >= limit.from)
            toldAt.try_emplace({ told.ingress, told.ingressGeneration }, told.at);
    }
    std::vector<Instant> arrivals;
    for (const auto& arrival : m_fleet.arrivals()) {
        auto told = toldAt.find({ arrival.ingress, arrival.ingressGeneration });
        if (arrival.backend == limit.backend && arrival.at <= limit.to && told != toldAt.end() && told->second + lag <= arrival.at)
            arrivals.push_back(arrival.at);
    }
    return arrivals;
}

double FaultyLoad::excessOver(const NamedLimit& limit) const
{
    // The users' rule: requests in any such window, once the limit was named for a while.
    constexpr Duration limitWindow = 4s;
    constexpr Duration settling = 3s;
    constexpr double tolerance = 1.5;
    constexpr double extraRequests = 5;
    auto allowed = tolerance * limit.requestsPerSecond * std::chrono::duration<double>(limitWindow).count() + extraRequests;
    auto arrivals = countedArrivals(limit);
    auto worst = -allowed;
    for (auto end : arrivals) {
        if (end < limit.from + settling)
            continue;
        auto count = std::ranges::count_if(arrivals, [&](Instant at) { return at > end - limitWindow && at <= end; });
        worst = std::max(worst, static_cast<double>(count) - allowed);
    }
    return worst;
}

size_t FaultyLoad::arrivalsAfterLeaving() const
{
    return static_cast<size_t>(std::ranges::count_if(m_fleet.arrivals(), [this](const BackendArrival& arrival) {
        return std::ranges::any_of(m_fleet.passedOnNotices(), [&](const PassedOnNotice& told) {
            return told.notice.isLeaving && told.backend == arrival.backend && told.ingress == arrival.ingress
                && told.ingressGeneration == arrival.ingressGeneration && told.at < arrival.sentAt;
        });
    }));
}

double FaultyLoad::largestLimitExcess() const
{
    auto worst = -std::numeric_limits<double>::infinity();
    for (const auto& limit : m_namedLimits)
        worst = std::max(worst, excessOver(limit));
    return worst;
}

}
