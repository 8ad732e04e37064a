#include "ServiceFixture.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

constexpr int backendCount = 9;
constexpr int slotsEach = 3;
constexpr double announcedSlots = backendCount * slotsEach;

enum class StepKind {
    ReportFault,
    ReportHealthy,
    FailLocalRun,
    Drain,
    Warm,
    Serve,
    LoseReachability,
    RegainReachability,
    AdvanceTime,
};

struct Step {
    StepKind kind { StepKind::AdvanceTime };
    int backend { 0 };
    int milliseconds { 0 };
    double strength { 0 };
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << "step " << static_cast<int>(step.kind) << " backend " << step.backend << " after " << step.milliseconds << " ms, strength "
                  << step.strength;
}

rc::Gen<Step> arbitraryStep()
{
    auto kinds = rc::gen::weightedElement<StepKind>({ { 8, StepKind::ReportFault }, { 2, StepKind::ReportHealthy }, { 3, StepKind::FailLocalRun },
        { 1, StepKind::Drain }, { 1, StepKind::Warm }, { 2, StepKind::Serve }, { 1, StepKind::LoseReachability }, { 1, StepKind::RegainReachability },
        { 6, StepKind::AdvanceTime } });
    auto strengths = rc::gen::map(rc::gen::inRange(100, 200), [](int percent) { return percent / 100.0; });
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kinds), rc::gen::set(&Step::backend, rc::gen::inRange(0, backendCount)),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(0, 20'000)), rc::gen::set(&Step::strength, strengths));
}

Profile arbitraryProfile()
{
    Profile profile;
    profile.health.floor = *rc::gen::element(0.5, 0.7, 0.75, 0.9);
    profile.health.priority = *rc::gen::element(HealthPriority::DetectionTime, HealthPriority::FewFalseEjections);
    return profile;
}

void perform(ServiceFixture& service, const Step& step)
{
    RunReport failed;
    failed.result = AttemptResult::ConnectionLost;
    failed.elapsed = 5ms;
    auto instance = service.record(step.backend).sidecar;
    switch (step.kind) {
    case StepKind::ReportFault:
        return service.report(step.backend, step.strength);
    case StepKind::ReportHealthy:
        return service.report(step.backend, 0);
    case StepKind::FailLocalRun:
        return service.run(0, failed);
    case StepKind::Drain:
        return service.setPhase(step.backend, BackendPhase::Draining);
    case StepKind::Warm:
        return service.setPhase(step.backend, BackendPhase::Warming);
    case StepKind::Serve:
        return service.setPhase(step.backend, BackendPhase::Serving);
    case StepKind::LoseReachability:
        service.unreachable.insert(instance);
        return;
    case StepKind::RegainReachability:
        service.unreachable.erase(instance);
        return;
    case StepKind::AdvanceTime:
        return service.advance(std::chrono::milliseconds(step.milliseconds));
    }
}

std::vector<Step> arbitrarySteps()
{
    return *rc::gen::container<std::vector<Step>>(arbitraryStep());
}

std::set<BackendId> ejectedOf(const ServiceFixture& service)
{
    std::set<BackendId> ejected;
    for (int number = 0; number < backendCount; ++number) {
        if (service.state(number) == StandingState::Ejected)
            ejected.insert(ServiceFixture::id(number));
    }
    return ejected;
}

bool isNoMoreThanTheFloorAllows(size_t ejected, double floor)
{
    return static_cast<double>(ejected * slotsEach) <= (1 - floor) * announcedSlots + 1e-6;
}

}

RC_GTEST_PROP(HealthProperties, EjectionsKeepTheFloor, ())
{
    auto profile = arbitraryProfile();
    ServiceFixture service(profile, backendCount);
    for (const auto& step : arbitrarySteps()) {
        auto ejections = service.eventCount(DecisionKind::BackendEjected);
        perform(service, step);
        if (step.kind != StepKind::AdvanceTime && service.eventCount(DecisionKind::BackendEjected) > ejections)
            RC_ASSERT(service.shareInUse() >= profile.health.floor - 1e-6);
        RC_ASSERT(isNoMoreThanTheFloorAllows(ejectedOf(service).size(), profile.health.floor));
    }
}

RC_GTEST_PROP(HealthProperties, NoUsableBackendServerStaysEjectedBelowTheFloor, ())
{
    auto profile = arbitraryProfile();
    ServiceFixture service(profile, backendCount);
    for (const auto& step : arbitrarySteps()) {
        perform(service, step);
        service.advance(300ms);
        if (service.shareInUse() >= profile.health.floor - 1e-6)
            continue;
        for (int number = 0; number < backendCount; ++number) {
            if (!service.couldServe(service.record(number)) || service.standing(number).state == StandingState::Healthy)
                continue;
            RC_ASSERT(service.state(number) == StandingState::Suspect);
        }
    }
}

// The processes get different evidence and phases at different times, and their clocks differ.
RC_GTEST_PROP(HealthProperties, ProcessesWithDifferentViewsKeepTheFloor, ())
{
    auto profile = arbitraryProfile();
    std::vector<std::unique_ptr<ServiceFixture>> fleet;
    for (int process = 0; process < 3; ++process) {
        fleet.push_back(std::make_unique<ServiceFixture>(profile, backendCount));
        fleet.back()->now += std::chrono::seconds(*rc::gen::inRange(0, 1000));
    }
    for (const auto& step : arbitrarySteps()) {
        auto receiver = *rc::gen::inRange(0, 4);
        for (int process = 0; process < 3; ++process) {
            if (receiver == 3 || receiver == process)
                perform(*fleet[process], step);
        }
        auto ejectedEverywhere = ejectedOf(*fleet[0]);
        for (const auto& service : fleet)
            std::erase_if(ejectedEverywhere, [&](const BackendId& id) { return !ejectedOf(*service).contains(id); });
        RC_ASSERT(isNoMoreThanTheFloorAllows(ejectedEverywhere.size(), profile.health.floor));
    }
}

RC_GTEST_PROP(HealthProperties, AllBackendServersAreBackInUseAfterTheFaultsEnd, ())
{
    auto profile = arbitraryProfile();
    profile.health.maximumEjectionTime = 1min;
    ServiceFixture service(profile, backendCount);
    for (const auto& step : arbitrarySteps())
        perform(service, step);
    service.unreachable.clear();
    for (int number = 0; number < backendCount; ++number) {
        if (service.record(number).phase != BackendPhase::Serving)
            service.setPhase(number, BackendPhase::Serving);
    }
    service.advance(3min);
    RC_ASSERT(service.shareInUse() == 1.0);
}

RC_GTEST_PROP(HealthProperties, ShareOfAReturningBackendServerNeverFalls, ())
{
    ServiceFixture service(arbitraryProfile(), backendCount);
    service.report(4, 1.5);
    service.advance(400ms);
    RC_PRE(service.state(4) == StandingState::Ejected);
    bool tookAllRequests = false;
    double last = 0;
    while (service.state(4) != StandingState::Healthy) {
        auto standing = service.standing(4);
        RC_ASSERT(standing.share >= last);
        RC_ASSERT(!(tookAllRequests && standing.isIdempotentOnly));
        last = standing.share;
        tookAllRequests = standing.state == StandingState::Returning && !standing.isIdempotentOnly;
        service.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 1000)));
    }
    RC_ASSERT(tookAllRequests);
    RC_ASSERT(service.standing(4).share == 1.0);
}
