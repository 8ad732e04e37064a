#pragma once

#include <Tests/LibDecision/EffectsOf.h>

#include <LibDecision/Calls/CallTable.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

// Chooses the first backend server of its list that the request doesn't exclude.
class FakeRouter {
public:
    std::optional<RouteChoice> choose(Turn&, const RouteRequest& request, Reason& reason)
    {
        auto isUntried = [&](const BackendId& id) { return std::ranges::find(request.excluded, id) == request.excluded.end(); };
        auto id = std::ranges::find_if(backends, isUntried);
        if (id == backends.end()) {
            reason = allLimitedFor > Duration::zero() ? Reason::BackendLimited : Reason::NoBackend;
            return std::nullopt;
        }
        RouteChoice choice;
        choice.backend.id = *id;
        choice.backend.incarnation = Incarnation(1);
        choice.backend.sidecarIncarnation = sidecarStart;
        choice.sidecar = InstanceId("beside-" + id->value());
        choice.sidecarControl = { "127.0.0.1", 9000 };
        choice.isFull = isFull;
        return choice;
    }
    void attemptStarted(Turn&, const BackendId& backend) { ++outstanding[backend]; }
    void attemptFinished(Turn&, const BackendId& backend, const AttemptReport&) { --outstanding[backend]; }
    Duration limitWait(const ServiceName&, Instant) const { return allLimitedFor; }
    std::optional<Endpoint> controlOf(const InstanceId&) const { return keeperControl; }
    std::optional<Forwarder> drawForwarder(Turn&, const ServiceName&, const InstanceId&) const { return forwarder; }

    static constexpr Incarnation sidecarStart { 7 };

    std::vector<BackendId> backends { BackendId("a"), BackendId("b"), BackendId("c"), BackendId("d") };
    std::optional<Endpoint> keeperControl { Endpoint { "127.0.0.1", 9001 } };
    std::optional<Forwarder> forwarder { { InstanceId("other"), { "127.0.0.1", 9002 } } };
    std::map<BackendId, int> outstanding;
    bool isFull { false };
    // How long the limits of all backend servers let no request through.
    Duration allLimitedFor { 0 };
};

// Counts the attempts that were reported to health checking.
class FakeAttemptObserver {
public:
    void attemptStarted(Turn&, CallId, const BackendRecord&) { ++started; }
    void attemptFinished(Turn&, CallId, const BackendRecord&, const AttemptReport& report)
    {
        ++finished;
        lastResult = report.result;
    }

    int started { 0 };
    int finished { 0 };
    AttemptResult lastResult { AttemptResult::Answered };
};

// Maps every service to the same profile.
class FakeDirectory {
public:
    ProfileName profileOf(const ServiceName&) const { return ProfileName("desk-profile"); }
};

// Test fixture: one call table with its fakes and a clock; each action returns its turn's effects.
class CallRig {
public:
    static constexpr Incarnation sidecarStart = FakeRouter::sidecarStart;

    explicit CallRig(const Profile& profile = {}, CallTableOptions options = {})
        : calls(router, observer, crashGuard, directory, profiles, options)
    {
        ProfileInForce inForce;
        inForce.profile = profile;
        inForce.revision.name = ProfileName("desk-profile");
        inForce.revision.revision = Revision(1);
        profiles.put(inForce);
    }

    template <typename Action>
    EffectList turn(Action action)
    {
        Turn step(now, random, lastTag);
        action(step);
        return step.takeEffects();
    }

    EffectList arrive(const CallArrived& arrival)
    {
        return turn([&](Turn& step) { calls.arrive(step, arrival); });
    }
    EffectList finish(uint64_t call, uint64_t attempt, const AttemptReport& report)
    {
        return turn([&](Turn& step) { calls.attemptFinished(step, { CallId(call), AttemptId(attempt), report }); });
    }
    EffectList callerGone(uint64_t call)
    {
        return turn([&](Turn& step) { calls.callerGone(step, CallId(call)); });
    }
    // Advances the clock and fires every timer that becomes due.
    EffectList advance(Duration duration)
    {
        EffectList effects;
        auto end = now + duration;
        while (auto due = calls.nextTimer()) {
            if (*due > end)
                break;
            now = std::max(now, *due);
            std::ranges::move(turn([&](Turn& step) { calls.handleTimer(step); }), std::back_inserter(effects));
        }
        now = end;
        return effects;
    }

    static CallArrived arrivalOf(uint64_t call, Method method = Method::Get, const std::string& account = "clerk")
    {
        CallArrived arrival;
        arrival.call = CallId(call);
        arrival.request.id = RequestId("request-" + std::to_string(call));
        arrival.request.service = ServiceName("desk");
        arrival.request.method = method;
        arrival.request.path = "/commissions";
        arrival.request.account = AccountId(account);
        arrival.request.fingerprint = { 1, 1000 + call };
        return arrival;
    }

    Instant now { 1h };
    std::mt19937_64 random { 1 };
    PlatformTag lastTag;
    ProfileRegistry profiles;
    FakeRouter router;
    FakeAttemptObserver observer;
    FakeDirectory directory;
    CrashGuard crashGuard;
    CallTable<FakeRouter, FakeAttemptObserver, FakeDirectory> calls;
};

}
