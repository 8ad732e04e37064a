#pragma once

#include <LibModel/EnumNames.h>

namespace Model {

// What a caller is told about its request.
enum class Outcome {
    // The backend server's whole answer is delivered.
    Answered,
    // No backend server ran the request.
    NotRun,
    // A backend server may have run the request.
    Unknown,
};

template <>
struct EnumNames<Outcome> {
    static constexpr std::array entries {
        EnumName { Outcome::Answered, "answered" },
        EnumName { Outcome::NotRun, "not-run" },
        EnumName { Outcome::Unknown, "unknown" },
    };
};

// Why a request was refused, or an attempt failed.
enum class Reason {
    None,
    NoSuchService,
    NoRoute,
    RouteUnusable,
    TenantUnusable,
    NotConfigured,
    UnknownKey,
    ParentUnknown,
    ConfigurationUnproven,
    QuotaExceeded,
    QuotaUnavailable,
    NoBackend,
    BodyTooLarge,
    BadRequest,
    DeadlineExceeded,
    QueueFull,
    FairShareExceeded,
    RetryBudgetExhausted,
    BackendDraining,
    BackendUnknown,
    StaleIncarnation,
    BackendShedding,
    BackendMisdirected,
    BackendSuspected,
    BackendBusy,
    BackendCold,
    BackendLimited,
    ConnectFailed,
    AnswerCut,
    AnswerMalformed,
    AnswerTooLarge,
    NoProgress,
    PeerUnreachable,
    PeerRestarted,
    KeyInProgress,
    KeyAlreadyUsed,
    KeyOutcomeUnknown,
    ClaimUnavailable,
    CrashSuspected,
    ProcessLeaving,
    CallerGone,
    Overloaded,
};

template <>
struct EnumNames<Reason> {
    static constexpr std::array entries {
        EnumName { Reason::None, "none" },
        EnumName { Reason::NoSuchService, "no-such-service" },
        EnumName { Reason::NoRoute, "no-route" },
        EnumName { Reason::RouteUnusable, "route-unusable" },
        EnumName { Reason::TenantUnusable, "tenant-unusable" },
        EnumName { Reason::NotConfigured, "not-configured" },
        EnumName { Reason::UnknownKey, "unknown-key" },
        EnumName { Reason::ParentUnknown, "parent-unknown" },
        EnumName { Reason::ConfigurationUnproven, "configuration-unproven" },
        EnumName { Reason::QuotaExceeded, "quota-exceeded" },
        EnumName { Reason::QuotaUnavailable, "quota-unavailable" },
        EnumName { Reason::NoBackend, "no-backend" },
        EnumName { Reason::BodyTooLarge, "body-too-large" },
        EnumName { Reason::BadRequest, "bad-request" },
        EnumName { Reason::DeadlineExceeded, "deadline-exceeded" },
        EnumName { Reason::QueueFull, "queue-full" },
        EnumName { Reason::FairShareExceeded, "fair-share-exceeded" },
        EnumName { Reason::RetryBudgetExhausted, "retry-budget-exhausted" },
        EnumName { Reason::BackendDraining, "backend-draining" },
        EnumName { Reason::BackendUnknown, "backend-unknown" },
        EnumName { Reason::StaleIncarnation, "stale-incarnation" },
        EnumName { Reason::BackendShedding, "backend-shedding" },
        EnumName { Reason::BackendMisdirected, "backend-misdirected" },
        EnumName { Reason::BackendSuspected, "backend-suspected" },
        EnumName { Reason::BackendBusy, "backend-busy" },
        EnumName { Reason::BackendCold, "backend-cold" },
        EnumName { Reason::BackendLimited, "backend-limited" },
        EnumName { Reason::ConnectFailed, "connect-failed" },
        EnumName { Reason::AnswerCut, "answer-cut" },
        EnumName { Reason::AnswerMalformed, "answer-malformed" },
        EnumName { Reason::AnswerTooLarge, "answer-too-large" },
        EnumName { Reason::NoProgress, "no-progress" },
        EnumName { Reason::PeerUnreachable, "peer-unreachable" },
        EnumName { Reason::PeerRestarted, "peer-restarted" },
        EnumName { Reason::KeyInProgress, "key-in-progress" },
        EnumName { Reason::KeyAlreadyUsed, "key-already-used" },
        EnumName { Reason::KeyOutcomeUnknown, "key-outcome-unknown" },
        EnumName { Reason::ClaimUnavailable, "claim-unavailable" },
        EnumName { Reason::CrashSuspected, "crash-suspected" },
        EnumName { Reason::ProcessLeaving, "process-leaving" },
        EnumName { Reason::CallerGone, "caller-gone" },
        EnumName { Reason::Overloaded, "overloaded" },
    };
};

}
