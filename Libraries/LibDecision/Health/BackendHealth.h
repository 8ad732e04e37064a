#pragma once

#include <LibDecision/Health/EjectionSchedule.h>
#include <LibDecision/Health/PathEvidence.h>
#include <LibDecision/Health/RunEvidence.h>
#include <LibDecision/Health/Standing.h>
#include <LibModel/Backend.h>
#include <LibModel/Identifiers.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

namespace Decision {

// Where evidence against a backend server comes from.
enum class EvidenceSource {
    // The backend server's sidecar, which observes the backend server directly.
    Sidecar,
    // This process as the ingress, which observes whether the sidecar can be reached.
    Path,
};

}

template <>
struct Model::EnumNames<Decision::EvidenceSource> {
    static constexpr std::array entries {
        EnumName { Decision::EvidenceSource::Sidecar, "backend server" },
        EnumName { Decision::EvidenceSource::Path, "path from this process" },
    };
};

namespace Decision {

// Maps a strength, which is 0 or more and ejects at 1, to a suspicion from 0 to 1. A strength of 1 gives 0.5.
inline double suspicionFromStrength(double strength) { return 1 - std::exp2(-strength); }

inline double strengthFromSuspicion(double suspicion)
{
    constexpr double largestSuspicion = 0.999;
    return -std::log2(1 - std::clamp(suspicion, 0.0, largestSuspicion));
}

// The health state that one process keeps of one backend server.
struct BackendHealth {
    ServiceName service;
    Incarnation incarnation;
    BackendPhase lastPhase { BackendPhase::Warming };
    bool isLocal { false };

    // Requests that this process ran as the sidecar.
    RunEvidence runs;
    // Requests that this process sent as the ingress.
    PathEvidence attempts;
    // The strength that the sidecar reported last. For a local backend server, the strength of the last evaluation.
    double reportedStrength { 0 };
    Instant reportedAt;
    uint64_t reportVersion { 0 };
    // The level of strength (0, 1 or 2) in the last report that this process published as the sidecar.
    int publishedLevel { 0 };
    uint64_t publishedCount { 0 };

    StandingState state { StandingState::Healthy };
    EvidenceSource source { EvidenceSource::Sidecar };
    Instant since;
    Instant until;
    EjectionSchedule schedule;
    std::string evidence;
    // Since when the evidence has been above the ejection threshold without a common cause.
    std::optional<Instant> aboveThresholdSince;
    std::optional<Instant> withheldAt;
    std::optional<Instant> probedAt;
    bool isProbing { false };
    // Start of the warm-up, in which the share of requests grows. Empty if this process can't tell that it began to
    // serve only recently.
    std::optional<Instant> servingSince;

    void setReportedStrength(double strength, Instant now)
    {
        reportedStrength = strength;
        reportedAt = now;
    }

    bool isEjected() const { return state == StandingState::Ejected; }
    bool hasFullStanding() const { return state == StandingState::Healthy || state == StandingState::Suspect; }
    // The share of a period that has passed, from 0 to 1.
    static double progress(Instant from, Duration length, Instant now)
    {
        if (length <= Duration::zero())
            return 1;
        return std::clamp(std::chrono::duration<double>(now - from) / std::chrono::duration<double>(length), 0.0, 1.0);
    }
};

}
