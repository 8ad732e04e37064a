#pragma once

#include <LibDecision/Attempt.h>
#include <LibDecision/DecisionEvent.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Outcome.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Telemetry {

using namespace Model;

// Times that are measured into histograms.
enum class Timing {
    // From a caller's request until its answer or refusal.
    Request,
    // One send to a sidecar.
    Attempt,
    // One run at a backend server.
    Run,
    // One operation at the platform.
    Platform,
};

// Values that are set when the metrics are read.
enum class Gauge {
    MembersAlive,
    MembersUnreachable,
    BackendsKnown,
    BackendsEjected,
    CallsInFlight,
    RunsInFlight,
    ConnectionsOpen,
    PlatformReachable,
    KeptAnswers,
    RoutesVersion,
    RoutesNewestVersionHeard,
    RoutesWatchSeconds,
    RoutesUnusableEntries,
    ConfigurationProofAge,
    // Bytes that may be held for callers, peers and backend servers, and those that are.
    MemoryLimit,
    MemoryArriving,
    MemoryRequests,
    MemoryAnswers,
    MemoryUnsent,
    MemoryKept,
    CallerConnections,
    ControlConnections,
    QuotaPartitionsHeld,
};

// Totals that other parts count themselves; they are set to their current value.
enum class Total {
    ControlMessagesSent,
    ControlBytesSent,
    ControlMessagesReceived,
    ControlBytesReceived,
    ControlMessagesRefused,
    ConnectionsOpened,
    ConnectionsReused,
    LogLinesSuppressed,
    FirstArrivals,
    RetryArrivals,
    CountedArrivals,
    // Connections closed and requests refused to keep a limit.
    HeadsTooLong,
    HeadTimeouts,
    IdleTimeouts,
    BodiesStalled,
    AnswersStalled,
    MemoryRefusals,
    MemorySheds,
    ConnectionSheds,
    ZoneStays,
    ZoneCrossings,
    ZoneLacks,
    // Run orders that were forwarded to other processes.
    OrdersForwarded,
    // The holder's side.
    QuotaTokensGranted,
    QuotaTokensRefused,
    // The ingress's side.
    QuotaCallsPassed,
    QuotaCallsExceeded,
    QuotaCallsUnavailable,
    QuotaQuestions,
    QuotaAnswers,
    QuotaRoundTripMicroseconds,
    QuotaQuestionsForwarded,
};

}

template <>
struct Model::EnumNames<Telemetry::Timing> {
    static constexpr std::array entries {
        EnumName { Telemetry::Timing::Request, "fulmar_request_seconds" },
        EnumName { Telemetry::Timing::Attempt, "fulmar_attempt_seconds" },
        EnumName { Telemetry::Timing::Run, "fulmar_run_seconds" },
        EnumName { Telemetry::Timing::Platform, "fulmar_platform_seconds" },
    };
};

template <>
struct Model::EnumNames<Telemetry::Gauge> {
    static constexpr std::array entries {
        EnumName { Telemetry::Gauge::MembersAlive, "fulmar_members_alive" },
        EnumName { Telemetry::Gauge::MembersUnreachable, "fulmar_members_unreachable" },
        EnumName { Telemetry::Gauge::BackendsKnown, "fulmar_backends_known" },
        EnumName { Telemetry::Gauge::BackendsEjected, "fulmar_backends_ejected" },
        EnumName { Telemetry::Gauge::CallsInFlight, "fulmar_calls_in_flight" },
        EnumName { Telemetry::Gauge::RunsInFlight, "fulmar_runs_in_flight" },
        EnumName { Telemetry::Gauge::ConnectionsOpen, "fulmar_connections_open" },
        EnumName { Telemetry::Gauge::PlatformReachable, "fulmar_platform_reachable" },
        EnumName { Telemetry::Gauge::KeptAnswers, "fulmar_kept_answers" },
        EnumName { Telemetry::Gauge::RoutesVersion, "fulmar_routes_version" },
        EnumName { Telemetry::Gauge::RoutesNewestVersionHeard, "fulmar_routes_newest_version_heard" },
        EnumName { Telemetry::Gauge::RoutesWatchSeconds, "fulmar_routes_watch_seconds" },
        EnumName { Telemetry::Gauge::RoutesUnusableEntries, "fulmar_routes_unusable_entries" },
        EnumName { Telemetry::Gauge::ConfigurationProofAge, "fulmar_configuration_proof_age_seconds" },
        EnumName { Telemetry::Gauge::MemoryLimit, "fulmar_memory_limit_bytes" },
        EnumName { Telemetry::Gauge::MemoryArriving, "fulmar_memory_arriving_bytes" },
        EnumName { Telemetry::Gauge::MemoryRequests, "fulmar_memory_request_bytes" },
        EnumName { Telemetry::Gauge::MemoryAnswers, "fulmar_memory_answer_bytes" },
        EnumName { Telemetry::Gauge::MemoryUnsent, "fulmar_memory_unsent_bytes" },
        EnumName { Telemetry::Gauge::MemoryKept, "fulmar_memory_kept_bytes" },
        EnumName { Telemetry::Gauge::CallerConnections, "fulmar_caller_connections" },
        EnumName { Telemetry::Gauge::ControlConnections, "fulmar_control_connections" },
        EnumName { Telemetry::Gauge::QuotaPartitionsHeld, "fulmar_quota_partitions_held" },
    };
};

template <>
struct Model::EnumNames<Telemetry::Total> {
    static constexpr std::array entries {
        EnumName { Telemetry::Total::ControlMessagesSent, "fulmar_control_messages_sent_total" },
        EnumName { Telemetry::Total::ControlBytesSent, "fulmar_control_bytes_sent_total" },
        EnumName { Telemetry::Total::ControlMessagesReceived, "fulmar_control_messages_received_total" },
        EnumName { Telemetry::Total::ControlBytesReceived, "fulmar_control_bytes_received_total" },
        EnumName { Telemetry::Total::ControlMessagesRefused, "fulmar_control_messages_refused_total" },
        EnumName { Telemetry::Total::ConnectionsOpened, "fulmar_connections_opened_total" },
        EnumName { Telemetry::Total::ConnectionsReused, "fulmar_connections_reused_total" },
        EnumName { Telemetry::Total::LogLinesSuppressed, "fulmar_log_lines_suppressed_total" },
        EnumName { Telemetry::Total::FirstArrivals, "fulmar_first_arrivals_total" },
        EnumName { Telemetry::Total::RetryArrivals, "fulmar_retry_arrivals_total" },
        EnumName { Telemetry::Total::CountedArrivals, "fulmar_counted_arrivals_total" },
        EnumName { Telemetry::Total::HeadsTooLong, "fulmar_heads_too_long_total" },
        EnumName { Telemetry::Total::HeadTimeouts, "fulmar_head_timeouts_total" },
        EnumName { Telemetry::Total::IdleTimeouts, "fulmar_idle_timeouts_total" },
        EnumName { Telemetry::Total::BodiesStalled, "fulmar_bodies_stalled_total" },
        EnumName { Telemetry::Total::AnswersStalled, "fulmar_answers_stalled_total" },
        EnumName { Telemetry::Total::MemoryRefusals, "fulmar_memory_refusals_total" },
        EnumName { Telemetry::Total::MemorySheds, "fulmar_memory_sheds_total" },
        EnumName { Telemetry::Total::ConnectionSheds, "fulmar_connection_sheds_total" },
        EnumName { Telemetry::Total::ZoneStays, "fulmar_zone_stays_total" },
        EnumName { Telemetry::Total::ZoneCrossings, "fulmar_zone_crossings_total" },
        EnumName { Telemetry::Total::ZoneLacks, "fulmar_zone_lacks_total" },
        EnumName { Telemetry::Total::OrdersForwarded, "fulmar_forwarded_orders_total" },
        EnumName { Telemetry::Total::QuotaTokensGranted, "fulmar_quota_tokens_granted_total" },
        EnumName { Telemetry::Total::QuotaTokensRefused, "fulmar_quota_tokens_refused_total" },
        EnumName { Telemetry::Total::QuotaCallsPassed, "fulmar_quota_calls_passed_total" },
        EnumName { Telemetry::Total::QuotaCallsExceeded, "fulmar_quota_calls_exceeded_total" },
        EnumName { Telemetry::Total::QuotaCallsUnavailable, "fulmar_quota_calls_unavailable_total" },
        EnumName { Telemetry::Total::QuotaQuestions, "fulmar_quota_questions_total" },
        EnumName { Telemetry::Total::QuotaAnswers, "fulmar_quota_answers_total" },
        EnumName { Telemetry::Total::QuotaRoundTripMicroseconds, "fulmar_quota_round_trip_microseconds_total" },
        EnumName { Telemetry::Total::QuotaQuestionsForwarded, "fulmar_quota_questions_forwarded_total" },
    };
};

namespace Telemetry {

// Counters, gauges and histograms of one process. The number of series is fixed: none carries the name of a service,
// backend server, account or caller.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void countOutcome(Outcome, Reason);
    void countAttempt(Decision::AttemptResult);
    void countDecision(Decision::DecisionKind);
    void observe(Timing, Duration);
    void set(Gauge, double);
    void set(Total, uint64_t);

    // Writes everything in the Prometheus text format.
    // https://prometheus.io/docs/instrumenting/exposition_formats/#text-based-format
    std::string prometheusText() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
