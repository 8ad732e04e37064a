#pragma once

#include "../Support/FakePlatform.h"
#include "FakeViews.h"

#include <LibDecision/Claims/Claims.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace ClaimsTest {

using namespace std::chrono_literals;
using Testing::FakePlatform;
using FakeClaims = Claims<FakePeers, FakeBackends>;

enum class FaultKind {
    // The process is paused and resumes without being notified of the pause.
    Pause,
    // The process crashes and restarts with a higher incarnation.
    Kill,
    // The process hands its claims over, stops and restarts.
    Leave,
    // Messages from the first to the second process are lost; messages in the other direction arrive.
    CutOneWay,
    // The two processes can't reach the other processes or the platform, and receive no rumors from them.
    Partition,
    // The first process wrongly considers the second one dead.
    FalseDeath,
    // Messages between all processes are lost, delayed, duplicated and reordered.
    BadNetwork,
    PlatformDown,
    // Calls take effect, but half of the replies are lost.
    PlatformRepliesLost,
    // Calls take effect late, possibly after the caller's timeout.
    PlatformSlow,
    // At the end of the fault the platform loses everything that was written during it.
    PlatformRolledBack,
};

struct Fault {
    FaultKind kind { FaultKind::Pause };
    Duration at { 0 };
    Duration length { 0 };
    size_t first { 0 };
    size_t second { 0 };
};

enum class CallerResult {
    Pending,
    Answered,
    // The kept answer of an earlier run.
    Replayed,
    NotRun,
    Unknown,
};

struct CallerAttempt {
    size_t key { 0 };
    size_t sidecar { 0 };
    Instant sentAt;
    CallerResult result { CallerResult::Pending };
    uint32_t runs { 0 };
};

struct CallerKey {
    IdempotencyKey key;
    uint32_t runs { 0 };
    uint32_t answers { 0 };
    // When a caller first received a result other than NotRun, so that the request ran or may have run.
    std::optional<Instant> firstReportedAt;
    std::vector<size_t> attempts;
};

// Simulates the claims of several processes with a fake network, platform and clocks, and records every run.
class ClaimsFleet {
public:
    static constexpr size_t processCount = 5;

    ClaimsFleet(uint64_t seed, std::vector<Fault> faults);

    static Profile profile();
    // Adds a key that is sent several times through random sidecars, within 7 s from the given instant.
    void addKey(Instant from, size_t sends);
    // Sends a key once and returns the index of the attempt.
    size_t send(size_t key, size_t sidecar);
    size_t newKey();
    // Makes every backend server accept all further requests.
    void endRefusals() { m_refusalShare = 0; }
    void runUntil(Instant);
    Instant now() const { return m_now; }

    const std::vector<CallerKey>& keys() const { return m_keys; }
    const std::vector<CallerAttempt>& attempts() const { return m_attempts; }
    FakePlatform& platform() { return m_platform; }
    FakeClaims& claims(size_t process) { return *m_processes[process].claims; }
    bool isUp(size_t process) const { return m_processes[process].isUp; }
    // Number of processes that didn't finish leaving within the allowed time.
    size_t stuckLeavers() const { return m_stuckLeavers; }

    void pause(size_t process, Duration);
    void kill(size_t process, Duration downTime);
    void leave(size_t process, Duration downTime);
    // Drops all messages from one process to the other.
    void cut(size_t from, size_t to, Duration);

private:
    struct Process {
        size_t index { 0 };
        InstanceId instance;
        Incarnation incarnation;
        bool isUp { false };
        bool isLeaving { false };
        Instant pausedUntil;
        Duration clockOffset { 0 };
        int64_t clockDriftPpm { 0 };
        uint64_t timerGeneration { 0 };
        uint64_t lastCall { 0 };
        PlatformTag lastTag;
        std::unique_ptr<FakePeers> peers;
        std::unique_ptr<FakeBackends> backends;
        std::unique_ptr<FakeClaims> claims;
        std::map<SidecarCallId, size_t> calls;
    };
    using Step = std::function<void(Process&, Turn&)>;

    void at(Instant, std::function<void()>);
    void later(Duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    Duration randomBetween(Duration low, Duration high);
    bool chance(double);

    MemberRecord recordOf(const Process&, MemberState) const;
    void startProcess(size_t);
    void onProcess(size_t, Incarnation, Step);
    void onProcessLater(const Process&, Duration delay, Step);
    Instant localTime(const Process&) const;
    void armTimer(Process&);

    void begin(const Fault&);
    void isolate(size_t first, size_t second, Duration);
    bool areConnected(size_t, size_t) const;
    void spreadMember(const MemberRecord&);
    void restartLater(size_t, Duration downTime);
    void awaitIdle(size_t, Incarnation, Instant deadline, Duration downTime);

    void applyEffects(Process&, Turn&);
    void deliver(const Process& from, const SendMessage&);
    void callPlatform(const Process&, const CallPlatform&);
    void spread(const Process&, const SpreadRumor&);
    void receiveRumor(size_t process, size_t from, const SpreadRumor&);

    void arrive(size_t attempt, Duration remaining);
    void decided(Process&, Turn&, const ClaimDecision&);
    void startRun(Process&, Turn&, SidecarCallId, Instant validUntil);
    void runAtBackend(Process&, SidecarCallId);
    void endRun(Process&, Turn&, SidecarCallId, Outcome);
    void replay(size_t attempt, const InstanceId& keeper);
    void reportToCaller(size_t attempt, CallerResult);

    std::mt19937_64 m_random;
    ProfileRegistry m_profiles;
    Instant m_now;
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<Process> m_processes;
    std::vector<MemberRecord> m_members;
    FakePlatform m_platform;
    std::vector<CallerKey> m_keys;
    std::vector<CallerAttempt> m_attempts;
    size_t m_stuckLeavers { 0 };
    double m_refusalShare { 0.1 };
    uint64_t m_lastIncarnation { 0 };

    std::multiset<std::pair<size_t, size_t>> m_cuts;
    std::multiset<size_t> m_isolated;
    int m_badNetworks { 0 };
    int m_platformDown { 0 };
    int m_platformRepliesLost { 0 };
    int m_platformSlow { 0 };
};

}
