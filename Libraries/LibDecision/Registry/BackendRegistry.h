#pragma once

#include <LibDecision/Turn.h>

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace Decision {

// The records of all backend servers of the fleet, as their sidecars published them.
class BackendRegistry {
public:
    // Returns true if the record is newer than the stored one; it is then stored and disseminated. The records of one
    // backend server are totally ordered and the greatest one is kept, so the order of arrival doesn't matter.
    bool apply(Turn&, const BackendRecord&);
    // Removes the backend servers of a process that membership has removed, so that their slots don't count as
    // announced. Records of a later incarnation of the process stay. Returns the removed records.
    std::vector<BackendRecord> forgetSidecar(const InstanceId&, Incarnation);

    // Returns nullptr if the backend server is unknown or has been removed.
    const BackendRecord* find(const BackendId&) const;
    // Backend servers of a service that aren't gone, ordered by id; empty if there is none.
    const std::vector<const BackendRecord*>& backendsOf(const ServiceName&) const;
    // Increases whenever the result of backendsOf() changes; 0 if the service is unknown.
    uint64_t generationOf(const ServiceName&) const;
    // The profile that most backend servers of the service announced; the first by name in a tie.
    ProfileName profileOf(const ServiceName&) const;
    std::vector<ServiceName> services() const;
    // Number of records, including those of gone backend servers that are kept as tombstones.
    size_t size() const { return m_records.size(); }

private:
    struct Service {
        std::vector<const BackendRecord*> backends;
        std::map<ProfileName, size_t> profileVotes;
        ProfileName profile;
        uint64_t generation { 0 };
    };
    // The record of a gone backend server is kept for a while, so that an older record can't restore the backend
    // server.
    struct Tombstone {
        BackendId id;
        Incarnation incarnation;
        Instant goneAt;
    };

    void addToService(const BackendRecord&);
    void removeFromService(const BackendRecord&);
    void forgetOldTombstones(Instant now);
    void forgetOldestTombstone();

    std::unordered_map<BackendId, BackendRecord> m_records;
    std::unordered_map<ServiceName, Service> m_services;
    std::deque<Tombstone> m_tombstones;
};

}
