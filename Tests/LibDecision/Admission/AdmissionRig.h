#pragma once

#include <Tests/LibDecision/EffectsOf.h>

#include <LibDecision/Admission/SidecarAdmission.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

// A claim gate whose decisions are made by the test.
class FakeGate {
public:
    void request(Turn&, SidecarCallId call, const RequestInfo&, const Profile&) { pending.insert(call); }
    void finished(Turn&, SidecarCallId call, Outcome outcome)
    {
        pending.erase(call);
        outcomes[call].push_back(outcome);
    }
    std::optional<SidecarCallId> findKeptAnswer(const RequestInfo& request) const
    {
        auto entry = kept.find(request.key.value_or(IdempotencyKey {}));
        return entry == kept.end() ? std::nullopt : std::optional(entry->second);
    }

    std::set<SidecarCallId> pending;
    std::map<SidecarCallId, std::vector<Outcome>> outcomes;
    std::map<IdempotencyKey, SidecarCallId> kept;
};

// Counts the runs that were reported to health checking.
class FakeRunObserver {
public:
    void runStarted(Turn&, SidecarCallId, const BackendId&) { ++started; }
    void runFinished(Turn&, SidecarCallId, const BackendId&, const RunReport&) { ++finished; }
    double sidecarSuspicion(const BackendId&) const { return 0; }

    int started { 0 };
    int finished { 0 };
};

// Test fixture: one sidecar with its local backend servers and a clock; each action returns its turn's effects.
class AdmissionRig {
public:
    explicit AdmissionRig(const Profile& profile = {})
    {
        ProfileInForce inForce;
        inForce.profile = profile;
        inForce.revision.name = profileName;
        inForce.revision.revision = Revision(1);
        profiles.put(inForce);
        admission.start(now);
    }

    template <typename Action>
    EffectList turn(Action action)
    {
        Turn step(now, random, lastTag);
        action(step);
        for (const auto& id : backends.takeChanged())
            admission.backendChanged(step, id);
        for (auto& rumor : step.takeRumors())
            rumors.push_back(std::move(rumor));
        return step.takeEffects();
    }

    EffectList announce(const std::string& name, uint64_t incarnation, uint32_t slots, BackendPhase phase = BackendPhase::Serving)
    {
        BackendAnnouncement announcement;
        announcement.id = BackendId(name);
        announcement.service = ServiceName("desk");
        announcement.profile = profileName;
        announcement.endpoint = { "127.0.0.1", static_cast<uint16_t>(9000 + std::hash<std::string> {}(name) % 1000) };
        announcement.incarnation = Incarnation(incarnation);
        announcement.slots = slots;
        announcement.phase = phase;
        return turn([&](Turn& step) { backends.announce(step, announcement); });
    }

    EffectList arrive(const SidecarCallArrived& arrival)
    {
        return turn([&](Turn& step) { admission.arrive(step, arrival); });
    }
    EffectList finish(uint64_t call, const RunReport& report)
    {
        return turn([&](Turn& step) { admission.runFinished(step, SidecarCallId(call), report); });
    }
    EffectList cancel(uint64_t call)
    {
        return turn([&](Turn& step) { admission.cancel(step, SidecarCallId(call)); });
    }
    EffectList decide(const ClaimDecision& decision)
    {
        return turn([&](Turn& step) {
            gate.pending.erase(decision.call);
            admission.claimDecided(step, decision);
        });
    }
    EffectList drain(const std::string& name)
    {
        return turn([&](Turn& step) { backends.drain(step, BackendId(name)); });
    }
    EffectList fireTimers()
    {
        return turn([&](Turn& step) {
            backends.handleTimer(step);
            admission.handleTimer(step);
            crashGuard.handleTimer(step);
        });
    }
    std::optional<Instant> nextTimer() const { return earliest(admission.nextTimer(), backends.nextTimer()); }
    // Advances the clock and fires every timer that becomes due.
    EffectList advance(Duration duration)
    {
        EffectList effects;
        auto end = now + duration;
        while (auto due = nextTimer()) {
            if (*due > end)
                break;
            now = std::max(now, *due);
            std::ranges::move(fireTimers(), std::back_inserter(effects));
        }
        now = end;
        return effects;
    }

    // Returns an idempotent request to the first incarnation of a backend server.
    static SidecarCallArrived arrivalOf(uint64_t call, const std::string& backend, const std::string& account = "clerk")
    {
        SidecarCallArrived arrival;
        arrival.call = SidecarCallId(call);
        arrival.backend = BackendId(backend);
        arrival.incarnation = Incarnation(1);
        arrival.request.id = RequestId("request-" + std::to_string(call));
        arrival.request.service = ServiceName("desk");
        arrival.request.account = AccountId(account);
        arrival.request.remaining = 2s;
        arrival.request.fingerprint = { 1, 1000 + call };
        arrival.isIdempotent = true;
        return arrival;
    }
    static SidecarCallArrived keyedArrivalOf(uint64_t call, const std::string& backend)
    {
        auto arrival = arrivalOf(call, backend);
        arrival.isIdempotent = false;
        arrival.request.method = Method::Post;
        arrival.request.key = IdempotencyKey("key-" + std::to_string(call));
        return arrival;
    }

    ProfileName profileName { "desk-profile" };
    Instant now { 1h };
    std::mt19937_64 random { 1 };
    PlatformTag lastTag;
    ProfileRegistry profiles;
    FakeGate gate;
    FakeRunObserver observer;
    CrashGuard crashGuard;
    LocalBackends backends { selfRecord(), profiles };
    SidecarAdmission<FakeGate, FakeRunObserver> admission { backends, profiles, crashGuard, gate, observer };
    std::vector<SpreadRumor> rumors;

private:
    static MemberRecord selfRecord()
    {
        MemberRecord self;
        self.instance = InstanceId("instance-1");
        self.incarnation = Incarnation(1);
        return self;
    }
};

// A profile without a cold start.
inline Profile warmProfile()
{
    Profile profile;
    profile.lifecycle.coldStart = 0s;
    return profile;
}

}
