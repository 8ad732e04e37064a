#include "NodeSchedule.h"

#include <LibDecision/NodeState.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

constexpr int lastFaultKind = static_cast<int>(NodeFaultKind::BackendDrain);

std::vector<NodeFault> arbitraryFaults()
{
    std::vector<NodeFault> faults(*rc::gen::inRange<size_t>(0, 6));
    for (auto& fault : faults) {
        fault.kind = static_cast<NodeFaultKind>(*rc::gen::inRange(0, lastFaultKind + 1));
        fault.at = std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
        fault.length = std::chrono::milliseconds(*rc::gen::inRange(100, 6'000));
        fault.first = *rc::gen::inRange<size_t>(0, 10);
        fault.second = *rc::gen::inRange<size_t>(0, 10);
    }
    return faults;
}

NodeSchedule arbitrarySchedule()
{
    return { *rc::gen::arbitrary<uint64_t>(), arbitraryFaults() };
}

bool isNotIdempotent(const CallerRequest& request)
{
    return request.info.method == Method::Post;
}

}

RC_GTEST_PROP(NodeProperties, EveryCallerIsToldAtMostOnceAndOnlyItsOwnAnswer, ())
{
    auto schedule = arbitrarySchedule();
    schedule.run();
    std::map<RequestId, std::optional<IdempotencyKey>> keys;
    for (const auto& request : schedule.fleet().requests())
        keys[request.info.id] = request.info.key;
    for (const auto& request : schedule.fleet().requests()) {
        RC_ASSERT(request.outcomeCount <= 1u);
        if (request.callerOutcome != CallerOutcome::Answered)
            continue;
        bool isOwn = request.answerOf == request.info.id;
        bool isOfSameKey = request.info.key && keys.contains(request.answerOf) && keys.at(request.answerOf) == request.info.key;
        RC_ASSERT(isOwn || isOfSameKey);
    }
}

RC_GTEST_PROP(NodeProperties, ToldOutcomesMatchTheActualRuns, ())
{
    auto schedule = arbitrarySchedule();
    schedule.run();
    for (const auto& request : schedule.fleet().requests()) {
        if (request.callerOutcome == CallerOutcome::NotRun)
            RC_ASSERT(request.runs == 0u);
        if (request.callerOutcome == CallerOutcome::Answered && !request.info.key)
            RC_ASSERT(request.runs >= 1u);
    }
}

RC_GTEST_PROP(NodeProperties, NonIdempotentRequestsRunAtMostOnce, ())
{
    auto schedule = arbitrarySchedule();
    schedule.run();
    for (const auto& request : schedule.fleet().requests()) {
        if (isNotIdempotent(request))
            RC_ASSERT(request.runs <= 1u);
    }
    for (const auto& [key, runs] : schedule.fleet().runsByKey())
        RC_ASSERT(runs <= 1u);
}

RC_GTEST_PROP(NodeProperties, DrainBoundHoldsAndLeavingAbortsNothing, ())
{
    auto schedule = arbitrarySchedule();
    schedule.run();
    for (const auto& backend : schedule.fleet().backends()) {
        if (backend.drainingSince)
            RC_ASSERT(backend.lastRunAt <= *backend.drainingSince + Duration(2s));
    }
    RC_ASSERT(schedule.fleet().abortedByLeaving() == 0u);
}

RC_GTEST_PROP(NodeProperties, TheFleetRecoversAfterTheFaults, ())
{
    auto schedule = arbitrarySchedule();
    schedule.run();
    auto& fleet = schedule.fleet();
    fleet.runFor(60s);
    auto isWaiting = [](const CallerRequest& request) { return request.outcomeCount == 0 && !request.isIngressLost && !request.isCallerGone; };
    RC_ASSERT(std::ranges::none_of(fleet.requests(), isWaiting));
    std::vector<size_t> finalRequests;
    for (size_t node = 0; node < NodeSchedule::nodeCount; ++node) {
        fleet.restart(node);
        fleet.runFor(10s);
        RC_ASSERT(fleet.state(node).membership().liveMembers().size() == NodeSchedule::nodeCount);
        finalRequests.push_back(fleet.send(node, fleet.makeRequest("commission-desk", Method::Get)));
    }
    fleet.runFor(3s);
    for (auto request : finalRequests)
        RC_ASSERT(fleet.requests()[request].callerOutcome == CallerOutcome::Answered);
}
