#include "Capacity.h"

#include <LibDecision/Health/Health.h>
#include <LibDecision/Routing/Router.h>

#include <chrono>
#include <iomanip>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

namespace Bench {

using namespace Decision;

namespace {

    constexpr int backendsPerService = 27;
    constexpr int backendsPerProcess = 9;
    constexpr int zoneCount = 15;

    class NumberedMembers {
    public:
        explicit NumberedMembers(int count)
        {
            for (int number = 0; number < count; ++number) {
                MemberRecord member;
                member.instance = InstanceId("process-" + std::to_string(number));
                member.incarnation = Incarnation(1);
                member.zone = ZoneName("zone-" + std::to_string(number % zoneCount));
                m_members.emplace(member.instance, member);
            }
        }

        const MemberRecord* find(const InstanceId& instance) const
        {
            auto member = m_members.find(instance);
            return member == m_members.end() ? nullptr : &member->second;
        }
        bool isReachable(const InstanceId&) const { return true; }
        std::optional<Duration> roundTripTo(const ZoneName&) const { return std::nullopt; }
        const MemberRecord& self() const { return m_members.at(InstanceId("process-0")); }

    private:
        std::unordered_map<InstanceId, MemberRecord> m_members;
    };

    // Backend servers of one service stand behind different processes.
    BackendRecord numberedBackend(int number, int processCount)
    {
        BackendRecord record;
        record.id = BackendId("backend-server-" + std::to_string(number));
        record.service = ServiceName("service-" + std::to_string(number / backendsPerService));
        record.profile = ProfileName("default");
        record.sidecar = InstanceId("process-" + std::to_string(number % processCount));
        record.sidecarIncarnation = Incarnation(1);
        record.incarnation = Incarnation(1);
        record.version = 1;
        record.slots = 3;
        return record;
    }

    size_t allocatedBytes() { return mallinfo2().uordblks; }

    // One process with everything that the fleet announced, and requests of every service.
    struct BusyProcess {
        explicit BusyProcess(int backendCount)
            : members(std::max(1, backendCount / backendsPerProcess))
            , health(members.self(), registry, profiles)
            , router(members, registry, health, profiles)
        {
            int processCount = std::max(1, backendCount / backendsPerProcess);
            for (int number = 0; number < backendCount; ++number) {
                auto record = numberedBackend(number, processCount);
                act([&](Turn& turn) {
                    registry.apply(turn, record);
                    health.backendChanged(turn, record);
                });
            }
        }

        void request(int service)
        {
            RouteRequest request;
            request.service = ServiceName("service-" + std::to_string(service));
            request.isIdempotent = true;
            act([&](Turn& turn) {
                Reason reason {};
                auto choice = router.choose(turn, request, reason);
                auto call = CallId(++lastCall);
                router.attemptStarted(turn, choice->backend.id);
                health.attemptStarted(turn, call, choice->backend);
                AttemptReport report { .status = 200, .elapsed = std::chrono::milliseconds(26), .serviceTime = std::chrono::milliseconds(25), .hasLoad = true };
                report.load = { .slots = 3, .running = 1, .serviceTime = std::chrono::milliseconds(25) };
                router.attemptFinished(turn, choice->backend.id, report);
                health.attemptFinished(turn, call, choice->backend, report);
            });
        }

        template <typename Action>
        void act(Action action)
        {
            Turn turn(now, random, tag);
            action(turn);
        }

        NumberedMembers members;
        BackendRegistry registry;
        ProfileRegistry profiles;
        Health health;
        Router<NumberedMembers> router;
        Instant now { std::chrono::seconds(100) };
        std::mt19937_64 random { 1 };
        PlatformTag tag;
        uint64_t lastCall { 0 };
    };

    void measureAt(int backendCount, std::ostream& output)
    {
        auto before = allocatedBytes();
        BusyProcess process(backendCount);
        auto services = std::max(1, backendCount / backendsPerService);
        constexpr int requests = 100'000;
        auto began = std::chrono::steady_clock::now();
        for (int request = 0; request < requests; ++request)
            process.request(request % services);
        auto spent = std::chrono::steady_clock::now() - began;
        auto bytes = allocatedBytes() - before;
        output << std::setw(9) << backendCount << std::setw(10) << services << std::setw(10) << std::fixed << std::setprecision(2)
               << static_cast<double>(bytes) / 1e6 << std::setw(14) << bytes / backendCount << std::setw(15)
               << std::chrono::duration<double, std::micro>(spent).count() / requests << "\n";
    }

}

void measureCapacity(std::ostream& output)
{
    output << " backends  services        MB  bytes/backend  us per request\n";
    for (int backendCount : { 135, 1400, 4700, 14'000 })
        measureAt(backendCount, output);
}

}
