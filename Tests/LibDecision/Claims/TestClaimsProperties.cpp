#include "ClaimsFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace ClaimsTest;

namespace {

constexpr Instant faultsBegin { 12s };
constexpr Instant faultsEnd { 60s };
constexpr Duration longestFault = 15s;
constexpr Duration keyInterval = 300ms;
constexpr size_t sendsPerKey = 6;

// Time for recovery after the last fault: the expiry of the last leases, the longest delay between attempts to hold a
// partition, and the settle time after the platform lost writes.
constexpr Duration recoveryBound = 30s;

rc::Gen<Fault> faultOf(rc::Gen<FaultKind> kind)
{
    auto latest = std::chrono::duration_cast<std::chrono::milliseconds>(faultsEnd - faultsBegin - longestFault).count();
    auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(longestFault).count();
    auto offset = std::chrono::duration_cast<std::chrono::milliseconds>(faultsBegin.time_since_epoch()).count();
    return rc::gen::map(rc::gen::tuple(std::move(kind), rc::gen::inRange<int64_t>(0, latest), rc::gen::inRange<int64_t>(100, longest), rc::gen::inRange<size_t>(0, ClaimsFleet::processCount), rc::gen::inRange<size_t>(0, ClaimsFleet::processCount)),
        [offset](const auto& drawn) {
            auto [drawnKind, at, length, first, second] = drawn;
            return Fault { drawnKind, std::chrono::milliseconds(offset + at), std::chrono::milliseconds(length), first, second };
        });
}

// Rollbacks of the platform to older data, and the faults that are combined with them.
rc::Gen<FaultKind> rollbackFault()
{
    return rc::gen::element(FaultKind::PlatformRolledBack, FaultKind::PlatformRolledBack, FaultKind::Kill, FaultKind::Leave, FaultKind::FalseDeath, FaultKind::Partition, FaultKind::Pause);
}

rc::Gen<FaultKind> anyFault()
{
    return rc::gen::element(FaultKind::Pause, FaultKind::Pause, FaultKind::Kill, FaultKind::Leave, FaultKind::CutOneWay, FaultKind::Partition, FaultKind::Partition, FaultKind::FalseDeath,
        FaultKind::BadNetwork, FaultKind::PlatformDown, FaultKind::PlatformRepliesLost, FaultKind::PlatformSlow, FaultKind::PlatformRolledBack);
}

std::unique_ptr<ClaimsFleet> runFleet(uint64_t seed, const std::vector<Fault>& faults)
{
    auto fleet = std::make_unique<ClaimsFleet>(seed, faults);
    auto end = faultsEnd + recoveryBound;
    for (Instant from { 1s }; from < end; from += keyInterval)
        fleet->addKey(from, sendsPerKey);
    fleet->runUntil(end);
    return fleet;
}

void expectTruthfulResults(const ClaimsFleet& fleet)
{
    for (const auto& key : fleet.keys())
        RC_ASSERT(key.runs <= 1u);
    for (const auto& attempt : fleet.attempts()) {
        if (attempt.result == CallerResult::NotRun)
            RC_ASSERT(attempt.runs == 0u);
        if (attempt.result == CallerResult::Answered || attempt.result == CallerResult::Replayed)
            RC_ASSERT(fleet.keys()[attempt.key].answers == 1u);
    }
}

// Sends a new key through each process, again after each "not run". It has to run within five attempts.
void expectLiveness(ClaimsFleet& fleet)
{
    fleet.endRefusals();
    for (size_t sidecar = 0; sidecar < ClaimsFleet::processCount; ++sidecar) {
        auto key = fleet.newKey();
        for (int send = 0; send < 5 && fleet.keys()[key].runs == 0; ++send) {
            fleet.send(key, sidecar);
            fleet.runUntil(fleet.now() + 1500ms);
        }
        RC_ASSERT(fleet.keys()[key].runs == 1u);
    }
    RC_ASSERT(fleet.stuckLeavers() == 0u);
}

void expectClaimInvariants(uint64_t seed, const std::vector<Fault>& faults)
{
    auto fleet = runFleet(seed, faults);
    expectTruthfulResults(*fleet);
    expectLiveness(*fleet);
    expectTruthfulResults(*fleet);
}

}

namespace rc {

template <>
struct Arbitrary<Fault> {
    static Gen<Fault> arbitrary() { return faultOf(anyFault()); }
};

}

namespace ClaimsTest {

void showValue(const Fault& fault, std::ostream& stream)
{
    stream << "Fault { " << static_cast<int>(fault.kind) << ", at " << fault.at.count() / 1000 << " ms, for " << fault.length.count() / 1000 << " ms, " << fault.first << ", " << fault.second << " }";
}

}

RC_GTEST_PROP(ClaimsProperties, RunAtMostOncePerKeyUnderAnyFaults, (uint64_t seed, const std::vector<Fault>& faults))
{
    expectClaimInvariants(seed, faults);
}

RC_GTEST_PROP(ClaimsProperties, RunAtMostOncePerKeyWhenThePlatformIsRolledBack, (uint64_t seed))
{
    expectClaimInvariants(seed, *rc::gen::container<std::vector<Fault>>(faultOf(rollbackFault())));
}

// Replaces one process after the other, as in a rolling upgrade. Refusals must not last, and every answer must be
// replayed or reported as unknown.
RC_GTEST_PROP(ClaimsProperties, RunAtMostOncePerKeyWhileEveryProcessIsReplaced, (uint64_t seed))
{
    std::vector<Fault> faults;
    for (size_t process = 0; process < ClaimsFleet::processCount; ++process)
        faults.push_back({ FaultKind::Leave, 15s + process * 8s, 500ms, process });
    expectClaimInvariants(seed, faults);
}
