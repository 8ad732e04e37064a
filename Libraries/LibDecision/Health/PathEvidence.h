#pragma once

#include <LibModel/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

using namespace Model;

// The outcome of one attempt, as far as it matters for the path to the sidecar.
enum class PathOutcome {
    // The sidecar responded, be it with an answer, a refusal or a load report.
    Responded,
    // The connection failed before the sidecar responded.
    Failed,
    // The ingress stopped waiting before the sidecar responded.
    NoResponse,
};

// The settings that the paths from one ingress are tested with.
struct PathCriteria {
    // An open attempt counts as failed after this time without a response.
    Duration silentAfter { 0 };
    // Evidence, in nats, at which this ingress ejects the backend server.
    double threshold { 0 };
};

// A sequential test (CUSUM) over the attempts that one ingress sent to one backend server's sidecar. It tests only
// whether the sidecar responds. Latency is left to the sidecar, because waiting in its queue delays all attempts of the
// same moment, so they aren't independent samples.
class PathEvidence {
public:
    void started(uint64_t attempt, Instant now);
    void finished(uint64_t attempt, PathOutcome, const PathCriteria&, Instant now);
    // Restarts the test at the given strength. Attempts that are open at this time are ignored from here on, unless a
    // response arrives.
    void restart(double strength, const PathCriteria&, Instant now);

    // The evidence divided by the threshold; 1 or more ejects.
    double strength(const PathCriteria&, Instant now) const;
    // When the open attempts should be evaluated again; nullopt if none is open.
    std::optional<Instant> nextEvaluation(const PathCriteria&, Instant now) const;
    std::string describe(const PathCriteria&, Instant now) const;

private:
    struct OpenAttempt {
        uint64_t attempt { 0 };
        Instant startedAt;
    };

    size_t silentCount(const PathCriteria&, Instant now) const;
    void addOutcome(bool hasFailed, const PathCriteria&, Instant now);

    std::vector<OpenAttempt> m_open;
    double m_evidence { 0 };
    // The last response or restart. Attempts that started earlier don't count as failed.
    Instant m_respondedAt;
    Instant m_updatedAt;
};

}
