#pragma once

#include "../Membership/FakeFleet.h"
#include "../Support/FakePlatform.h"

#include <LibDecision/Quotas/Quotas.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Testing {

// The members as all processes see them, without those that this process takes for dead.
class QuotaPeers {
public:
    struct Members {
        std::map<InstanceId, MemberRecord> records;
        std::vector<InstanceId> live;
    };

    QuotaPeers(MemberRecord self, std::shared_ptr<Members> members)
        : m_self(std::move(self))
        , m_members(std::move(members))
    {
    }

    const MemberRecord& self() const { return m_self; }
    const MemberRecord* find(const InstanceId& instance) const
    {
        auto record = m_members->records.find(instance);
        return record == m_members->records.end() ? nullptr : &record->second;
    }
    bool isReachable(const InstanceId&) const { return true; }
    const std::vector<InstanceId>& liveMembers() const
    {
        if (dead.empty())
            return m_members->live;
        m_live = m_members->live;
        std::erase_if(m_live, [this](const InstanceId& member) { return dead.contains(member); });
        return m_live;
    }

    std::set<InstanceId> dead;

private:
    MemberRecord m_self;
    std::shared_ptr<Members> m_members;
    mutable std::vector<InstanceId> m_live;
};

// As the users' platform sets them.
inline const TenantTerms quotaTerms { .quotaWindow = 5s, .quotaOvershoot = 0.1, .quotaSlack = 20 };

// The quotas of one process, whose clock may run at another rate and stands still while the machine is suspended. A call
// that may go on is answered, with no attempt.
class QuotaProcess {
public:
    QuotaProcess(const MemberRecord& self, std::shared_ptr<QuotaPeers::Members>, uint64_t seed, double clockRate);

    EffectList start(Instant now);
    EffectList handle(Instant now, const Input&);
    EffectList setTable(Instant now, const std::shared_ptr<const RouteTable>&);
    std::optional<Instant> nextTimer() const;
    Revision routesVersion() const { return m_quotas.directory().version(); }

    void addSuspension(Duration length) { m_suspendedTime += length; }
    const Quotas<QuotaPeers>& quotas() const { return m_quotas; }
    QuotaPeers& peers() { return m_peers; }

private:
    Instant localTime(Instant now) const;
    EffectList finish(Turn&);
    void receive(Turn&, const CallArrived&);

    QuotaPeers m_peers;
    Quotas<QuotaPeers> m_quotas;
    std::mt19937_64 m_random;
    PlatformTag m_lastTag;
    double m_clockRate;
    Duration m_suspendedTime { 0 };
};

struct QuotaCall {
    AccountId tenant;
    Instant sentAt;
    bool isPassed { false };
    std::optional<Reason> refusal;
    std::optional<Instant> decidedAt;
    Duration retryAfter { 0 };
};

// Processes with quotas, with a fake network and store, and callers.
class QuotaFleet {
public:
    QuotaFleet(uint64_t seed, size_t processes, const std::vector<Tenant>&, double clockDeviation = 0);

    static std::string nameOf(size_t process) { return "node-" + std::to_string(process); }

    // Sends a call of the tenant to the process, and returns its number.
    size_t send(size_t process, const AccountId& tenant);
    // Offers calls of the tenant at a rate, at random processes among the given ones.
    void offer(const AccountId& tenant, double callsPerSecond, std::vector<size_t> processes, Instant until);
    void kill(size_t process);
    void restart(size_t process);
    void pause(size_t process, Duration, bool isSuspension);
    void leave(size_t process);
    // Puts a table in force everywhere, at each process within the delay.
    void publish(const std::vector<Tenant>&, Duration longestDelay);
    void runFor(Duration duration) { m_fleet.runFor(duration); }

    FakeFleet<QuotaProcess>& fleet() { return m_fleet; }
    FakePlatform& platform() { return m_platform; }
    const std::vector<QuotaCall>& calls() const { return m_calls; }
    size_t count(const AccountId& tenant, const std::function<bool(const QuotaCall&)>&) const;
    // Quotas that were published, with the instants.
    const std::vector<std::pair<Instant, std::vector<Tenant>>>& published() const { return m_published; }
    // Returns the process that may grant tokens of the partition.
    std::optional<size_t> holderOf(uint32_t partition);

    bool isStoreDown { false };
    double lostStoreReplies { 0 };
    Duration slowestStoreCall { 4ms };
    // Processes that the store doesn't answer.
    std::set<size_t> withoutStore;

private:
    MemberRecord recordOf(size_t process) const;
    void start(size_t process);
    void callPlatform(size_t process, const CallPlatform&);
    bool happens(double share) { return std::uniform_real_distribution<double>(0, 1)(m_fleet.random()) < share; }

    FakeFleet<QuotaProcess> m_fleet;
    FakePlatform m_platform;
    std::shared_ptr<QuotaPeers::Members> m_members;
    std::shared_ptr<const RouteTable> m_table;
    std::vector<uint32_t> m_generations;
    std::map<size_t, Instant> m_pausedUntil;
    double m_clockDeviation;
    std::vector<QuotaCall> m_calls;
    std::vector<std::pair<Instant, std::vector<Tenant>>> m_published;
};

inline Tenant tenant(const std::string& name, double rate, double burst)
{
    return { .name = AccountId(name), .requestsPerSecond = rate, .burst = burst };
}

}
