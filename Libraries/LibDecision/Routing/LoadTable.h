#pragma once

#include <LibDecision/Attempt.h>
#include <LibDecision/Message.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <unordered_map>

namespace Decision {

// What one process knows of the load of backend servers: its own outstanding requests, which are exact, and the load
// reports that ride on answers, which age.
class LoadTable {
public:
    void started(const BackendRecord&);
    void finished(const BackendRecord&, const AttemptReport&, Instant now);
    // Forgets what is known of an earlier incarnation, or of all if it is gone.
    void changed(const BackendRecord&);

    // Requests that are probably running or queued at the backend server.
    double expectedRequests(const BackendRecord&, Instant now) const;
    // How long a request sent now would probably take there, queue included.
    Duration expectedTime(const BackendRecord&, Instant now) const;
    // How long it would probably wait for a slot.
    Duration expectedWait(const BackendRecord&, Instant now) const;
    // How long it would probably take more than elsewhere: the wait, and the time lost to requests beside it.
    Duration expectedBurden(const BackendRecord&, Instant now) const;
    // How probable it is that the backend server fails its requests now, as its sidecar said last.
    double faultProbability(const BackendRecord&, Instant now) const;
    // The time that the service's requests usually take.
    Duration usualTime(const BackendRecord&) const;
    uint32_t outstanding(const BackendId&) const;

private:
    struct Load {
        LoadReport report;
        Instant reportedAt;
        Incarnation incarnation;
        uint32_t outstanding { 0 };
        // Own requests that the report counted as well.
        uint32_t outstandingAtReport { 0 };
        // Refusals lately, fading; one that sheds load looks idle.
        double refusals { 0 };
        Instant refusedAt;
    };
    // Averages over a service's backend servers, for those of which nothing fresh is known.
    struct ServiceAverage {
        double serviceTimeMicroseconds { 0 };
        // Requests of other processes for each slot.
        double othersPerSlot { 0 };
    };

    Load& loadOf(const BackendRecord&);
    double serviceTimeOf(const BackendRecord&) const;
    static double recentRefusals(const Load&, Instant now);

    std::unordered_map<BackendId, Load> m_loads;
    std::unordered_map<ServiceName, ServiceAverage> m_averages;
};

}
