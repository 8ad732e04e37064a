#include "RetryLoad.h"

#include <LibDecision/NodeState.h>

#include <algorithm>

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

    size_t serviceOf(size_t backend) { return backend < RetryLoad::callingNodes ? 0 : 1; }

}

NodeFleetOptions RetryLoad::fleetOptions()
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

RetryLoad::RetryLoad(uint64_t seed, std::vector<RetryFault> faults)
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

void RetryLoad::run()
{
    m_fleet.runFor(warmUp);
    m_loadEnds = m_fleet.fleet().now() + loadTime;
    for (const auto& fault : m_faults)
        m_fleet.fleet().callLater(fault.at, [this, fault] { startFault(fault); });
    for (size_t service = 0; service < serviceCount; ++service)
        sendNext(service);
    m_fleet.runFor(loadTime + 3s);
}

void RetryLoad::startFault(const RetryFault& fault)
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
    case RetryFaultKind::Kill:
        for (size_t victim = node; victim <= std::max(node, other); ++victim) {
            m_fleet.kill(victim);
            fleet.callLater(std::min<Duration>(fault.length, 1s), [this, victim] { m_fleet.restart(victim); });
        }
        break;
    case RetryFaultKind::Pause:
        m_fleet.pause(node, fault.length);
        break;
    case RetryFaultKind::CutOneWay:
        m_cuts.insert({ node, other });
        fleet.callLater(fault.length, [this, node, other] { m_cuts.erase(m_cuts.find({ node, other })); });
        break;
    case RetryFaultKind::Errors:
        inject(&BackendFaults::errorShare, severity);
        break;
    case RetryFaultKind::Cuts:
        inject(&BackendFaults::cutShare, severity);
        break;
    case RetryFaultKind::Sheds:
        inject(&BackendFaults::shedShare, severity);
        break;
    case RetryFaultKind::Misdirects:
        inject(&BackendFaults::misdirectedShare, severity);
        break;
    case RetryFaultKind::Slow:
        inject(&BackendFaults::slowFactor, 10 * severity);
        break;
    case RetryFaultKind::Burst:
        m_burst = 4;
        fleet.callLater(fault.length, [this] { m_burst = 1; });
        break;
    }
}

void RetryLoad::sendNext(size_t service)
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

double RetryLoad::largestExcess() const
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

double RetryLoad::excessIn(const ServiceName& service, const std::vector<Instant>& requests, Instant end) const
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

}
