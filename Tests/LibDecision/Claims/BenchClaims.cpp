#include "ClaimsFleet.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>

// Prints the cost of claims for docs/CAPACITY.md. Not part of the tests.
namespace {

using namespace ClaimsTest;

constexpr double nodes = 1500;
constexpr double services = 520;
constexpr double zones = 15;
constexpr double restartsPerDay = 4800;
constexpr double secondsPerDay = 86400;
constexpr size_t claimCount = 100'000;

// A single process that requests claims from itself. The platform replies without delay.
class SingleProcess {
public:
    SingleProcess()
        : m_peers(m_self)
        , m_backends({ m_self.instance }, ServiceName("s"))
        , m_claims(m_self, m_peers, m_backends, m_profiles)
    {
        step([](FakeClaims& claims, Turn& turn) { claims.start(turn); });
        for (uint64_t key = 0; key < 64; ++key)
            requestClaim(key);
        while (m_now < Instant(20s)) {
            m_now += 100ms;
            step([](FakeClaims& claims, Turn& turn) { claims.handleTimer(turn); });
        }
    }

    bool requestClaim(uint64_t key)
    {
        RequestInfo request;
        request.id = RequestId("0123456789abcdef-" + std::to_string(key));
        request.service = ServiceName("s");
        request.account = AccountId("account-" + std::to_string(key % 75'000));
        request.key = IdempotencyKey("5b0c3a52-9d7e-4b58-b0cf-" + std::to_string(key));
        SidecarCallId call(++m_lastCall);
        step([&](FakeClaims& claims, Turn& turn) { claims.request(turn, call, request, m_profile); });
        auto decisions = m_claims.takeDecisions();
        bool isGranted = !decisions.empty() && decisions.front().verdict == ClaimVerdict::Granted;
        step([&](FakeClaims& claims, Turn& turn) { claims.finished(turn, call, Outcome::Unknown); });
        return isGranted;
    }

    const FakePlatform& platform() const { return m_platform; }

private:
    void step(const std::function<void(FakeClaims&, Turn&)>& action)
    {
        Turn turn(m_now, m_random, m_lastTag);
        action(m_claims, turn);
        for (const auto& effect : turn.takeEffects()) {
            const auto* call = std::get_if<CallPlatform>(&effect);
            if (!call)
                continue;
            auto reply = m_platform.perform(m_now, call->operation);
            reply.tag = call->tag;
            step([&](FakeClaims& claims, Turn& next) { claims.handleReply(next, reply); });
        }
    }

    MemberRecord m_self { InstanceId("0"), Incarnation(1) };
    FakePeers m_peers;
    FakeBackends m_backends;
    ProfileRegistry m_profiles;
    Profile m_profile;
    FakePlatform m_platform;
    std::mt19937_64 m_random { 1 };
    PlatformTag m_lastTag;
    Instant m_now { 1s };
    uint64_t m_lastCall { 0 };
    FakeClaims m_claims;
};

void printCosts()
{
    SingleProcess process;
    auto bytesBefore = mallinfo2().uordblks;
    auto begin = std::chrono::steady_clock::now();
    size_t granted = 0;
    for (uint64_t key = 0; key < claimCount; ++key)
        granted += process.requestClaim(1'000 + key) ? 1 : 0;
    auto elapsed = std::chrono::steady_clock::now() - begin;
    auto bytes = mallinfo2().uordblks - bytesBefore;
    std::printf("claims granted                        %zu of %zu\n", granted, claimCount);
    std::printf("ns per claim, from request to end     %.0f\n", std::chrono::duration<double, std::nano>(elapsed).count() / claimCount);
    std::printf("bytes per claim kept                  %.0f (with the bounded list of reports)\n", static_cast<double>(bytes) / claimCount);
}

void printPlatformCalls()
{
    Profile profile;
    auto lease = std::chrono::duration<double>(profile.idempotency.claimLease).count();
    auto partitions = services * partitionsPerService;
    auto held = partitions / nodes;
    // Derived from the calls in the code: read, acquire, compare-and-swap to hold a partition; read, compare-and-swap,
    // release to leave it.
    constexpr double writesToHold = 2;
    constexpr double writesToGiveUp = 2;
    constexpr double leaseWrites = 2;
    auto renewals = std::min(nodes, partitions) * 3 / lease;
    auto restarts = restartsPerDay / secondsPerDay * (held * (writesToHold + writesToGiveUp) + leaseWrites);
    auto lostPartitions = partitions / zones;
    std::printf("writes/s without restarts             %.1f (holders x 3 / lease)\n", renewals);
    std::printf("writes/s with the day's restarts      %.1f (+ restarts/s x (held x 4 + 2))\n", renewals + restarts);
    std::printf("writes at a zone's loss               %.0f in all, after the leases expired (partitions / zones x 2 + new leases)\n", lostPartitions * writesToHold);
    std::printf("reads at a zone's loss                %.0f in all if every sidecar chooses the same holder (partitions / zones x 3 attempts)\n", lostPartitions * 3);
}

// Triggers the event at a holder, sends new keys through the other processes for 30 s, and prints how many are refused.
void printRefusals(const char* name, const std::function<void(ClaimsFleet&, size_t)>& event)
{
    ClaimsFleet fleet(1, {});
    fleet.endRefusals();
    for (Instant from { 1s }; from < Instant(12s); from += 300ms)
        fleet.addKey(from, 1);
    fleet.runUntil(Instant(25s));
    auto key = fleet.newKey();
    auto partition = partitionOf(ServiceName("collection-desk"), AccountId("vratka"), fleet.keys()[key].key);
    auto holder = std::stoul(fleet.claims(0).partitionManager().directory().find(partition)->holder.value());
    event(fleet, holder);
    auto begin = fleet.now();
    size_t sent = 0;
    Duration lastRefusal { 0 };
    while (fleet.now() < begin + 30s) {
        fleet.send(fleet.newKey(), (holder + 1 + sent++ % 4) % ClaimsFleet::processCount);
        fleet.runUntil(fleet.now() + 50ms);
    }
    fleet.runUntil(fleet.now() + 2s);
    size_t total = 0;
    for (const auto& attempt : fleet.attempts()) {
        if (attempt.sentAt < begin || attempt.result != CallerResult::NotRun)
            continue;
        ++total;
        lastRefusal = std::max(lastRefusal, attempt.sentAt - begin);
    }
    std::printf("%s %zu of %zu in 30 s, the last after %.1f s (lease %.0f s, settle time %.0f s, 2 partitions)\n", name, total, sent, std::chrono::duration<double>(lastRefusal).count(), 3.0, 8.0);
}

}

int main()
{
    printCosts();
    printPlatformCalls();
    printRefusals("refused after a holder's crash       ", [](auto& fleet, size_t holder) { fleet.kill(holder, 60s); });
    printRefusals("refused after a graceful restart     ", [](auto& fleet, size_t holder) { fleet.leave(holder, 60s); });
}
