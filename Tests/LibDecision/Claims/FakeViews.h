#pragma once

#include <LibDecision/Message.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace ClaimsTest {

using namespace Decision;

// One process's view of the other processes, set by the test.
class FakePeers {
public:
    explicit FakePeers(MemberRecord self)
        : m_self(std::move(self))
    {
        put(m_self);
    }

    const MemberRecord& self() const { return m_self; }
    const MemberRecord* find(const InstanceId& instance) const
    {
        auto member = m_members.find(instance);
        return member == m_members.end() ? nullptr : &member->second;
    }
    bool isReachable(const InstanceId& instance) const { return !m_unreachable.contains(instance); }
    const std::vector<InstanceId>& liveMembers() const { return m_live; }

    void put(const MemberRecord& member)
    {
        m_members[member.instance] = member;
        std::erase(m_live, member.instance);
        if (member.state == MemberState::Alive)
            m_live.push_back(member.instance);
        std::ranges::sort(m_live);
    }
    void setReachable(const InstanceId& instance, bool isReachable)
    {
        m_unreachable.erase(instance);
        if (!isReachable)
            m_unreachable.insert(instance);
    }

private:
    MemberRecord m_self;
    std::map<InstanceId, MemberRecord> m_members;
    std::set<InstanceId> m_unreachable;
    std::vector<InstanceId> m_live;
};

// A registry with one backend server behind each process.
class FakeBackends {
public:
    FakeBackends(const std::vector<InstanceId>& sidecars, const ServiceName& service)
    {
        for (const auto& sidecar : sidecars)
            m_records.push_back({ BackendId("backend-" + sidecar.value()), service, ProfileName("test"), sidecar });
        for (const auto& record : m_records)
            m_pointers.push_back(&record);
    }
    FakeBackends(const FakeBackends&) = delete;
    FakeBackends& operator=(const FakeBackends&) = delete;

    const std::vector<const BackendRecord*>& backendsOf(const ServiceName&) const { return m_pointers; }
    ProfileName profileOf(const ServiceName&) const { return ProfileName("test"); }

private:
    std::vector<BackendRecord> m_records;
    std::vector<const BackendRecord*> m_pointers;
};

}
