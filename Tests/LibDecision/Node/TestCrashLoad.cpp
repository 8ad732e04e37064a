#include "NodeFleet.h"

#include <LibDecision/NodeState.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

const std::string service = "commission-desk";
constexpr size_t nodeCount = 8;
constexpr Duration warmUp = 20s;
// Machines that weren't disturbed for this time must know what the fleet knows.
constexpr Duration contactTime = 3s;
// A backend server that is lost must be out of use by then.
constexpr Duration detectionTime = 1s;
// Longer than contactTime, so that no new incarnation shows a crash in time.
constexpr Duration downTime = 5s;
constexpr size_t crashesBeforeTheBound = 3;
constexpr size_t allowedLateArrivals = 3;

enum class StepKind {
    Send,
    Kill,
    Cut,
};

struct Step {
    StepKind kind { StepKind::Send };
    size_t node { 0 };
    size_t other { 0 };
    Duration length { 0 };
    Duration gap { 0 };
};

std::vector<Step> arbitrarySteps()
{
    std::vector<Step> steps(*rc::gen::inRange<size_t>(20, 60));
    for (auto& step : steps) {
        step.kind = *rc::gen::weightedElement<StepKind>({ { 5, StepKind::Send }, { 1, StepKind::Kill }, { 1, StepKind::Cut } });
        step.node = *rc::gen::inRange<size_t>(0, nodeCount);
        step.other = (step.node + *rc::gen::inRange<size_t>(1, nodeCount)) % nodeCount;
        step.length = std::chrono::milliseconds(*rc::gen::inRange(100, 4'000));
        step.gap = std::chrono::milliseconds(*rc::gen::inRange(10, 1'500));
    }
    return steps;
}

// A request that crashes whatever backend server runs it, sent to any processes in any order, and nothing else: no other
// request meets a backend server that is down.
class CrashLoad {
public:
    explicit CrashLoad(uint64_t seed)
        : m_fleet(seed, nodeCount, { .areBackendsTied = true, .backendDownTime = downTime })
        , m_request(m_fleet.makeRequest(service, Method::Get))
    {
        m_fleet.fleet().cut = [this](size_t from, size_t to) { return m_cuts.contains({ from, to }); };
        for (size_t node = 0; node < nodeCount; ++node)
            m_fleet.backends()[m_fleet.addBackend(service, node)].simulatedFaults.crashFingerprint = m_request.fingerprint.low;
        m_fleet.runFor(warmUp);
    }

    void play(const Step& step)
    {
        auto& fleet = m_fleet.fleet();
        switch (step.kind) {
        case StepKind::Send: {
            auto again = m_fleet.makeRequest(service, Method::Get);
            again.fingerprint = m_request.fingerprint;
            m_fleet.send(step.node, again);
            break;
        }
        case StepKind::Kill:
            m_disturbances.push_back({ step.node, fleet.now(), fleet.now() + 300ms });
            m_fleet.kill(step.node);
            fleet.callLater(300ms, [this, node = step.node] { m_fleet.restart(node); });
            break;
        case StepKind::Cut: {
            for (auto node : { step.node, step.other })
                m_disturbances.push_back({ node, fleet.now(), fleet.now() + step.length });
            auto isNew = m_cuts.insert({ step.node, step.other }).second;
            if (isNew)
                fleet.callLater(step.length, [this, step] { m_cuts.erase({ step.node, step.other }); });
            break;
        }
        }
        m_fleet.runFor(step.gap);
    }

    // Arrivals by way of processes in touch, later than contactTime after the third crash.
    size_t lateArrivals() const
    {
        const auto& arrivals = m_fleet.arrivals();
        if (arrivals.size() <= crashesBeforeTheBound)
            return 0;
        auto bound = arrivals[crashesBeforeTheBound - 1].at + contactTime;
        return std::ranges::count_if(arrivals, [&](const BackendArrival& arrival) {
            return arrival.at > bound && isInTouch(arrival.ingress, arrival.at) && isInTouch(arrival.backend, arrival.at);
        });
    }

private:
    struct Disturbance {
        size_t node { 0 };
        Instant from;
        Instant until;
    };

    bool isInTouch(size_t node, Instant at) const
    {
        return std::ranges::none_of(m_disturbances, [&](const Disturbance& disturbance) {
            return disturbance.node == node && disturbance.from <= at && at < disturbance.until + contactTime;
        });
    }

    NodeFleet m_fleet;
    RequestInfo m_request;
    std::set<std::pair<size_t, size_t>> m_cuts;
    std::vector<Disturbance> m_disturbances;
};

}

RC_GTEST_PROP(CrashLoadProperties, ACrashingRequestIsKnownToAllProcessesInTouchSoonAfterItsThirdCrash, ())
{
    CrashLoad load(*rc::gen::arbitrary<uint64_t>());
    for (const auto& step : arbitrarySteps())
        load.play(step);
    RC_ASSERT(load.lateArrivals() <= allowedLateArrivals);
}

// The processes that were told of the crashes are restarted one after the other.
TEST(CrashLoad, RestartedProcessesLearnWhichRequestCrashesBackendServers)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CrashLoad load(seed);
        for (size_t send = 0; send < 6; ++send)
            load.play({ .kind = StepKind::Send, .node = send % nodeCount, .gap = 1s });
        for (size_t round = 0; round < 3; ++round) {
            for (size_t node = 0; node < nodeCount; ++node) {
                load.play({ .kind = StepKind::Kill, .node = node, .gap = 4s });
                load.play({ .kind = StepKind::Send, .node = node, .gap = 1s });
            }
        }
        EXPECT_LE(load.lateArrivals(), allowedLateArrivals) << "seed " << seed;
    }
}

// Three backend servers are lost at once while each runs a request that callers send often.
TEST(CrashLoad, APopularRequestIsServedAfterItsBackendServersAreLostForAnotherReason)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        NodeFleet fleet(seed, nodeCount, { .areBackendsTied = true });
        for (size_t node = 0; node < nodeCount; ++node) {
            auto& backend = fleet.backends()[fleet.addBackend(service, node)];
            backend.serviceTime = 200ms;
            backend.slots = 8;
        }
        fleet.runFor(warmUp);

        auto popular = fleet.makeRequest(service, Method::Get);
        auto press = [&](Duration length) {
            auto end = fleet.fleet().now() + length;
            for (size_t number = 0; fleet.fleet().now() < end; ++number) {
                auto request = fleet.makeRequest(service, Method::Get);
                request.fingerprint = popular.fingerprint;
                fleet.send(number % nodeCount, request);
                fleet.runFor(10ms);
            }
        };
        press(2s);
        for (size_t backend = 0; backend < 3; ++backend)
            fleet.crash(backend);
        auto lostAt = fleet.fleet().now();
        press(5s);
        fleet.runFor(5s);

        auto isRefusedForCrashes = [](const CallerRequest& request) { return request.reason == Reason::CrashSuspected; };
        // Until then, all attempts of a request may have gone to backend servers that were just lost.
        auto isUnserved = [&](const CallerRequest& request) {
            return request.callerOutcome != CallerOutcome::Answered && request.sentAt >= lostAt + detectionTime;
        };
        EXPECT_EQ(std::ranges::count_if(fleet.requests(), isRefusedForCrashes), 0) << "seed " << seed;
        EXPECT_EQ(std::ranges::count_if(fleet.requests(), isUnserved), 0) << "seed " << seed;
    }
}
