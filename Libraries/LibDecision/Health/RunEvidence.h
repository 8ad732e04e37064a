#pragma once

#include <LibDecision/Health/FailureBaseline.h>
#include <LibDecision/Health/LatencyBaseline.h>
#include <LibDecision/Health/Sensitivity.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

// The outcome of one request, as far as it matters for health.
enum class RunOutcome {
    // A complete answer without a server error; its latency is known.
    Succeeded,
    Failed,
    // Ended by a deadline or cancellation. The elapsed time is a lower bound of the latency (a right-censored sample).
    Censored,
    // Carries no information about health, such as a request refused because of overload.
    Neutral,
};

// The baselines and settings that the requests of a backend server are tested against.
struct RunCriteria {
    const LatencyBaseline& latency;
    const FailureBaseline& failures;
    Sensitivity sensitivity;
};

// Sequential tests (CUSUM) over the requests of one backend server, as its sidecar observes them: one for latency, one
// for a moderate failure share and one for a high failure share. Requests that are still open count by their age.
class RunEvidence {
public:
    void started(uint64_t request, Instant now);
    void finished(uint64_t request, RunOutcome, Duration latency, const RunCriteria&, Instant now);
    // Adds a failure outside of any request, such as a failed probe.
    void addFailure(const RunCriteria&);

    // Restarts the tests at the given strength. Requests that are open at this time are ignored from here on.
    void restart(double strength, const Sensitivity&, Instant now);

    // The evidence divided by the threshold; 1 or more ejects.
    double strength(const RunCriteria&, Instant now) const;
    // When the open requests should be evaluated again; nullopt if none is open.
    std::optional<Instant> nextEvaluation(const RunCriteria&, Instant now) const;
    // Number of requests that ended since the last restart.
    uint64_t finishedCount() const { return m_finished; }
    size_t openCount() const { return m_open.size(); }
    Instant lastFinishedAt() const { return m_lastFinishedAt; }
    // Describes the figures behind the strength.
    std::string describe(const RunCriteria&, Instant now) const;

private:
    struct OpenRequest {
        uint64_t request { 0 };
        Instant startedAt;
    };

    void addLatency(Duration, bool isLowerBound, const RunCriteria&);
    void addOutcome(bool hasFailed, const RunCriteria&);
    void decay(Instant now);
    // The share of the stored evidence that remains after decay.
    double remaining(Instant now) const;
    double failureEvidence() const;
    double openEvidence(const RunCriteria&, Instant now) const;

    std::vector<OpenRequest> m_open;
    double m_latency { 0 };
    double m_moderateFailures { 0 };
    double m_highFailures { 0 };
    uint64_t m_finished { 0 };
    uint64_t m_failed { 0 };
    // The last restart.
    Instant m_since;
    Instant m_decayedAt;
    Instant m_lastFinishedAt;
};

}
