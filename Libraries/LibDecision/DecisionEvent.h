#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <string>

namespace Decision {

using namespace Model;

// Kinds of decisions. Each decision emits one event, which feeds the logs, the metrics and `fulmarctl explain`.
enum class DecisionKind {
    MemberJoined,
    MemberSuspected,
    MemberRefuted,
    MemberDead,
    MemberLeft,
    PathLost,
    PathRestored,
    BackendAnnounced,
    BackendLapsed,
    BackendDraining,
    BackendGone,
    BackendMoved,
    BackendLimitChanged,
    BackendEjected,
    BackendEjectionWithheld,
    BackendReturning,
    BackendReturned,
    ProbeSent,
    ProbeFailed,
    CohortDropped,
    RequestRouted,
    RequestRetried,
    RequestAnswered,
    RequestFailed,
    RequestRefused,
    RequestUnknown,
    RequestQueued,
    RequestSettled,
    RequestCountedAsRetry,
    CrashSuspected,
    CrashSuspicionCleared,
    ClaimGranted,
    ClaimHeld,
    ClaimReleased,
    ClaimRefused,
    ProfileAdopted,
    ProfileRejected,
    ProfileForked,
    QuotaAcquired,
    QuotaLost,
    QuotaExceeded,
    QuotaUnanswered,
    RoutesAdopted,
    RoutesRejected,
    RoutesIncomplete,
    RoutesBehind,
    RoutesWatchLost,
    ConfigurationProofLost,
    ConfigurationProofRegained,
    PlatformLost,
    PlatformRestored,
    StoreRestored,
    Leaving,
    Left,
};

// One decision and the evidence for it.
struct DecisionEvent {
    DecisionKind kind { DecisionKind::RequestRouted };
    // The step at which the decision was made, such as "route" or "admit".
    std::string step;
    // The other party: an instance, endpoint or backend server; "local" if there is none.
    std::string peer;
    ServiceName service;
    BackendId backend;
    RequestId request;
    // The profile in force and its revision.
    ProfileName profile;
    Revision revision;
    // Human-readable reason with the figures that led to the decision.
    std::string evidence;
};

}

template <>
struct Model::EnumNames<Decision::DecisionKind> {
    static constexpr std::array entries {
        EnumName { Decision::DecisionKind::MemberJoined, "member-joined" },
        EnumName { Decision::DecisionKind::MemberSuspected, "member-suspected" },
        EnumName { Decision::DecisionKind::MemberRefuted, "member-refuted" },
        EnumName { Decision::DecisionKind::MemberDead, "member-dead" },
        EnumName { Decision::DecisionKind::MemberLeft, "member-left" },
        EnumName { Decision::DecisionKind::PathLost, "path-lost" },
        EnumName { Decision::DecisionKind::PathRestored, "path-restored" },
        EnumName { Decision::DecisionKind::BackendAnnounced, "backend-announced" },
        EnumName { Decision::DecisionKind::BackendLapsed, "backend-lapsed" },
        EnumName { Decision::DecisionKind::BackendDraining, "backend-draining" },
        EnumName { Decision::DecisionKind::BackendGone, "backend-gone" },
        EnumName { Decision::DecisionKind::BackendMoved, "backend-moved" },
        EnumName { Decision::DecisionKind::BackendLimitChanged, "backend-limit-changed" },
        EnumName { Decision::DecisionKind::BackendEjected, "backend-ejected" },
        EnumName { Decision::DecisionKind::BackendEjectionWithheld, "backend-ejection-withheld" },
        EnumName { Decision::DecisionKind::BackendReturning, "backend-returning" },
        EnumName { Decision::DecisionKind::BackendReturned, "backend-returned" },
        EnumName { Decision::DecisionKind::ProbeSent, "probe-sent" },
        EnumName { Decision::DecisionKind::ProbeFailed, "probe-failed" },
        EnumName { Decision::DecisionKind::CohortDropped, "cohort-dropped" },
        EnumName { Decision::DecisionKind::RequestRouted, "request-routed" },
        EnumName { Decision::DecisionKind::RequestRetried, "request-retried" },
        EnumName { Decision::DecisionKind::RequestAnswered, "request-answered" },
        EnumName { Decision::DecisionKind::RequestFailed, "request-failed" },
        EnumName { Decision::DecisionKind::RequestRefused, "request-refused" },
        EnumName { Decision::DecisionKind::RequestUnknown, "request-unknown" },
        EnumName { Decision::DecisionKind::RequestQueued, "request-queued" },
        EnumName { Decision::DecisionKind::RequestSettled, "request-settled" },
        EnumName { Decision::DecisionKind::RequestCountedAsRetry, "request-counted-as-retry" },
        EnumName { Decision::DecisionKind::CrashSuspected, "crash-suspected" },
        EnumName { Decision::DecisionKind::CrashSuspicionCleared, "crash-suspicion-cleared" },
        EnumName { Decision::DecisionKind::ClaimGranted, "claim-taken" },
        EnumName { Decision::DecisionKind::ClaimHeld, "claim-held" },
        EnumName { Decision::DecisionKind::ClaimReleased, "claim-released" },
        EnumName { Decision::DecisionKind::ClaimRefused, "claim-refused" },
        EnumName { Decision::DecisionKind::ProfileAdopted, "profile-adopted" },
        EnumName { Decision::DecisionKind::ProfileRejected, "profile-rejected" },
        EnumName { Decision::DecisionKind::ProfileForked, "profile-forked" },
        EnumName { Decision::DecisionKind::QuotaAcquired, "quota-acquired" },
        EnumName { Decision::DecisionKind::QuotaLost, "quota-lost" },
        EnumName { Decision::DecisionKind::QuotaExceeded, "quota-exceeded" },
        EnumName { Decision::DecisionKind::QuotaUnanswered, "quota-unanswered" },
        EnumName { Decision::DecisionKind::RoutesAdopted, "routes-adopted" },
        EnumName { Decision::DecisionKind::RoutesRejected, "routes-rejected" },
        EnumName { Decision::DecisionKind::RoutesIncomplete, "routes-incomplete" },
        EnumName { Decision::DecisionKind::RoutesBehind, "routes-behind" },
        EnumName { Decision::DecisionKind::RoutesWatchLost, "routes-watch-lost" },
        EnumName { Decision::DecisionKind::ConfigurationProofLost, "configuration-proof-lost" },
        EnumName { Decision::DecisionKind::ConfigurationProofRegained, "configuration-proof-regained" },
        EnumName { Decision::DecisionKind::PlatformLost, "platform-lost" },
        EnumName { Decision::DecisionKind::PlatformRestored, "platform-restored" },
        EnumName { Decision::DecisionKind::StoreRestored, "store-restored" },
        EnumName { Decision::DecisionKind::Leaving, "leaving" },
        EnumName { Decision::DecisionKind::Left, "left" },
    };
};
