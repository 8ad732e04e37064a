#pragma once

#include <LibDecision/Attempt.h>
#include <LibDecision/Message.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <unordered_map>

namespace Decision {

// What one process knows about the load of backend servers: its own outstanding requests, which are exact, and the load
// reports attached to answers and refusals, which become outdated. A backend server that names a limit on requests takes
// one now and then; the more often it refuses this process, the longer this process waits until it offers another, so
// that the offers of the whole fleet stay in proportion to the limit.
class LoadTable {
public:
    void started(const BackendRecord&, Instant now);
    void finished(const BackendRecord&, const AttemptReport&, Instant now);
    // Takes the state that a sidecar told with an answer or refusal. The random share, from 0 to 1, spreads the offers of
    // processes that wait for the same limit.
    void limited(const BackendRecord&, const BackendCondition&, Reason, double randomShare, Instant now);
    // Drops the load of an earlier incarnation, and all load if the backend server is gone.
    void changed(const BackendRecord&);

    // Estimated number of requests that run or wait at the backend server.
    double expectedRequests(const BackendRecord&, Instant now) const;
    // Estimated time that a request sent now takes there, including the time in the queue.
    Duration expectedTime(const BackendRecord&, Instant now) const;
    // Time until this process should offer another request to a backend server that names a limit; zero without a limit.
    Duration limitWait(const BackendRecord&, Instant now) const;
    // Estimated time that a request sent now waits for a slot, or for the limit.
    Duration expectedWait(const BackendRecord&, Instant now) const;
    // Estimated time beyond that on an idle backend server: the wait for a slot, the slowdown by concurrent requests,
    // and a penalty for recent refusals.
    Duration expectedOverhead(const BackendRecord&, Instant now) const;
    // Probability, from 0 to 1, that the backend server is faulty: the sidecar's last report, decayed by its age. 0
    // without a report.
    double faultProbability(const BackendRecord&, Instant now) const;
    // Returns true if the sidecar would probably admit a request that finds out whether a fault is over.
    bool isTrialDue(const BackendRecord&, Instant now) const;
    // The service time to expect at the backend server: the service's mean, or more if the backend server is far
    // slower.
    Duration usualServiceTime(const BackendRecord&) const;
    uint32_t outstanding(const BackendId&) const;

private:
    struct Load {
        LoadReport report;
        Instant reportedAt;
        Incarnation incarnation;
        uint32_t outstanding { 0 };
        // This process's outstanding requests when the report arrived; the report counts them too.
        uint32_t outstandingAtReport { 0 };
        // Recent refusals, with exponential decay. A backend server that sheds load would otherwise look idle.
        double refusals { 0 };
        Instant refusedAt;
        // Average time between the requests that a named limit lets through; zero without a limit.
        Duration limitInterval { 0 };
        Instant limitedUntil;
        // Refusals for the limit, less the requests that it let through; not below zero.
        int limitRefusals { 0 };
    };
    // Moving averages over a service's backend servers, used for those without a recent report.
    struct ServiceAverage {
        double serviceTimeMicroseconds { 0 };
        // Number of service times in the mean, up to the length of the moving average.
        double serviceTimes { 0 };
        // Requests of other processes, per slot.
        double othersPerSlot { 0 };
    };

    Load& loadOf(const BackendRecord&);
    double serviceTimeOf(const BackendRecord&) const;
    static double recentRefusals(const Load&, Instant now);

    std::unordered_map<BackendId, Load> m_loads;
    std::unordered_map<ServiceName, ServiceAverage> m_averages;
};

}
