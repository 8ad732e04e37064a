#pragma once

#include <LibModel/Backend.h>
#include <LibModel/Endpoint.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Outcome.h>
#include <LibModel/Profile.h>
#include <LibModel/Request.h>
#include <LibModel/RouteTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The control messages between processes of the fleet. Every message is one-way; a reply is a message of its own.
namespace Decision {

using namespace Model;

enum class MemberState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

}

template <>
struct Model::EnumNames<Decision::MemberState> {
    static constexpr std::array entries {
        EnumName { Decision::MemberState::Alive, "alive" },
        EnumName { Decision::MemberState::Suspect, "suspect" },
        EnumName { Decision::MemberState::Leaving, "leaving" },
        EnumName { Decision::MemberState::Dead, "dead" },
    };
};

namespace Decision {

// The fleet's record of one process. A record with a higher incarnation supersedes one with a lower incarnation; within
// one incarnation, the state that is listed later in MemberState supersedes the earlier one.
struct MemberRecord {
    InstanceId instance;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    Endpoint control;
    Endpoint callers;
    MemberState state { MemberState::Alive };

    bool operator==(const MemberRecord&) const = default;
};

// The fleet's record of one backend server. Only the backend server's sidecar writes it. Within one sidecar
// incarnation, a higher version supersedes; between sidecars, a higher backend incarnation does. Within one backend
// incarnation, a record that says that it leaves supersedes those that don't.
struct BackendRecord {
    BackendId id;
    ServiceName service;
    ProfileName profile;
    // The process that serves as the backend server's sidecar.
    InstanceId sidecar;
    Incarnation sidecarIncarnation;
    // The backend server's own incarnation.
    Incarnation incarnation;
    uint64_t version { 0 };
    uint32_t slots { 1 };
    double weight { 1.0 };
    BackendPhase phase { BackendPhase::Serving };
    // True if this incarnation leaves for good, rather than its sidecar process.
    bool isLeaving { false };

    bool operator==(const BackendRecord&) const = default;
};

// One process's assessment of a backend server's health, spread when it changes.
struct HealthReport {
    BackendId backend;
    Incarnation backendIncarnation;
    InstanceId observer;
    // True if the observer is the backend server's sidecar, whose view isn't affected by the network between processes.
    bool isFromSidecar { false };
    // 0 is healthy, 1 is certainly unhealthy.
    double suspicion { 0 };
    // Increases with each report of this observer about this backend server.
    uint64_t version { 0 };

    bool operator==(const HealthReport&) const = default;
};

// A request that crashed a backend server.
struct CrashReport {
    Fingerprint fingerprint;
    BackendId victim;
    Incarnation victimIncarnation;
    // True if it ran alone there, because it was already suspected. Others that ran with it are not to blame then.
    bool ranAlone { false };
    // True if the request was answered completely since, so that it doesn't crash every backend server that runs it.
    bool isCleared { false };
    // Time since the crash was observed.
    Duration age { 0 };

    bool operator==(const CrashReport&) const = default;
};

// The process that holds the claims on one partition of a service's idempotency keys.
struct ClaimHolder {
    ServiceName service;
    uint32_t partition { 0 };
    InstanceId holder;
    Incarnation holderIncarnation;
    ClaimEpoch epoch;

    bool operator==(const ClaimHolder&) const = default;
};

// A record that is disseminated by gossip: each process passes it on a limited number of times.
using Rumor = std::variant<MemberRecord, BackendRecord, HealthReport, CrashReport, ClaimHolder, ProfileRevision>;

// Probes the receiver, which has to answer with an Ack within the probe timeout. Both messages carry rumors.
struct Ping {
    uint64_t sequence { 0 };
    std::vector<Rumor> rumors;

    bool operator==(const Ping&) const = default;
};

struct Ack {
    uint64_t sequence { 0 };
    std::vector<Rumor> rumors;

    bool operator==(const Ack&) const = default;
};

// Asks the receiver to ping the target on behalf of the sender.
struct IndirectPing {
    uint64_t sequence { 0 };
    InstanceId target;
    Endpoint targetControl;

    bool operator==(const IndirectPing&) const = default;
};

// Reports that the target answered the ping requested by an IndirectPing.
struct IndirectAck {
    uint64_t sequence { 0 };
    InstanceId target;

    bool operator==(const IndirectAck&) const = default;
};

// Rumors that can't wait for the next ping: a drain, a new profile revision, a sidecar's health report.
struct Gossip {
    std::vector<Rumor> rumors;

    bool operator==(const Gossip&) const = default;
};

// Sent to a seed by a process that is not a member yet.
struct Join {
    MemberRecord member;

    bool operator==(const Join&) const = default;
};

// Hashes of all of the sender's records, one per bucket of record keys, for anti-entropy.
struct SyncDigest {
    std::vector<uint64_t> bucketHashes;
    // True if the receiver has to answer with its own digest.
    bool wantsAnswer { false };

    bool operator==(const SyncDigest&) const = default;
};

// The sender's records in some buckets. The receiver applies the newer ones and, if requested, answers with its own.
struct SyncRecords {
    std::vector<uint32_t> buckets;
    std::vector<Rumor> records;
    bool wantsAnswer { false };

    bool operator==(const SyncRecords&) const = default;
};

enum class ClaimVerdict {
    // The key is new: the requester may run the request within the validity period.
    Granted,
    // The key's first request may be running or may have run; its outcome is unknown.
    Unknown,
    // The key's first request is still running.
    InProgress,
    // The key's first request finished; its answer is stored at the named process.
    Finished,
    // The receiver doesn't hold the partition, or can't prove that it does.
    NotHolder,
    // The receiver became the holder recently, and claims granted by an earlier holder may still be valid.
    Settling,
    // The key was used before with a different request.
    Mismatch,
};

}

template <>
struct Model::EnumNames<Decision::ClaimVerdict> {
    static constexpr std::array entries {
        EnumName { Decision::ClaimVerdict::Granted, "granted" },
        EnumName { Decision::ClaimVerdict::Unknown, "unknown" },
        EnumName { Decision::ClaimVerdict::InProgress, "in-progress" },
        EnumName { Decision::ClaimVerdict::Finished, "finished" },
        EnumName { Decision::ClaimVerdict::NotHolder, "not-holder" },
        EnumName { Decision::ClaimVerdict::Settling, "settling" },
        EnumName { Decision::ClaimVerdict::Mismatch, "mismatch" },
    };
};

namespace Decision {

// Sent by a sidecar to the holder of a key's partition, to ask whether it may run the request.
struct ClaimRequest {
    uint64_t sequence { 0 };
    ServiceName service;
    uint32_t partition { 0 };
    AccountId account;
    IdempotencyKey key;
    Fingerprint fingerprint;
    RequestId request;
    // How long the key is remembered after the grant: the request's remaining deadline plus the profile's resend
    // window.
    Duration resendWindow { 0 };

    bool operator==(const ClaimRequest&) const = default;
};

struct ClaimReply {
    uint64_t sequence { 0 };
    // Incarnation of the process that sent the ClaimRequest. A restarted process counts its sequences from 1 again.
    Incarnation requesterIncarnation;
    ClaimVerdict verdict { ClaimVerdict::NotHolder };
    // How long a grant is valid, counted from the instant at which the requester sent the ClaimRequest.
    Duration validity { 0 };
    ClaimEpoch epoch;
    // If the verdict is Finished: the process that stores the first outcome.
    InstanceId outcomeKeeper;

    bool operator==(const ClaimReply&) const = default;
};

// The outcome of a granted claim. The sidecar sends it to the holder repeatedly until a ClaimReply with the same
// sequence confirms it. That reply carries the verdict that a resend of the request would get.
struct ClaimOutcome {
    // The sequence of the ClaimRequest, which distinguishes the claims of several attempts of one request.
    uint64_t sequence { 0 };
    ServiceName service;
    uint32_t partition { 0 };
    AccountId account;
    IdempotencyKey key;
    RequestId request;
    // NotRun releases the key.
    Outcome outcome { Outcome::Unknown };

    bool operator==(const ClaimOutcome&) const = default;
};

// One claim in a ClaimHandover.
struct ClaimEntry {
    AccountId account;
    IdempotencyKey key;
    Fingerprint fingerprint;
    RequestId request;
    Outcome outcome { Outcome::Unknown };
    bool isRunning { false };
    // The sidecar that requested the claim. It stores the outcome.
    InstanceId outcomeKeeper;
    Incarnation keeperIncarnation;
    // The sequence of that sidecar's ClaimRequest.
    uint64_t sequence { 0 };
    // Remaining part of the resend window.
    Duration remaining { 0 };

    bool operator==(const ClaimEntry&) const = default;
};

// The claims of a partition, sent by a leaving holder.
struct ClaimHandover {
    ServiceName service;
    uint32_t partition { 0 };
    ClaimEpoch epoch;
    // Counts from 0. The number of parts isn't known in advance; isLastPart marks the last one.
    uint32_t part { 0 };
    bool isLastPart { true };
    std::vector<ClaimEntry> entries;

    bool operator==(const ClaimHandover&) const = default;
};

// Requests the receiver's route table, after a message from it carried a higher version than the sender's.
struct RouteTableRequest {
    // Version of the sender's route table; 0 if it has none.
    Revision known;

    bool operator==(const RouteTableRequest&) const = default;
};

// One part of the sender's route table, with some of the routes. The first part also carries everything else in the
// table.
struct RouteTablePart {
    // Counts from 0.
    uint32_t number { 0 };
    uint32_t count { 1 };
    RouteTable table;

    bool operator==(const RouteTablePart&) const = default;
};

// Asks for the latest proof that the receiver knows of which route table was the newest one.
struct ConfigurationProofRequest {
    uint64_t sequence { 0 };
    // Incarnation at the sender's start. A restarted process counts its sequences from 1 again.
    Incarnation requesterStart;

    bool operator==(const ConfigurationProofRequest&) const = default;
};

struct ConfigurationProofReply {
    uint64_t sequence { 0 };
    Incarnation requesterStart;
    // No table newer than this version had been confirmed when the proof was made.
    Revision version;
    // Age of the proof when the reply was made, including time that the sender spent suspended; empty if it has no proof.
    std::optional<Duration> age;
    // The store's era that the sender relies on; 0 if none.
    uint64_t era { 0 };

    bool operator==(const ConfigurationProofReply&) const = default;
};

// Tokens that a process wants for requests of one tenant.
struct QuotaNeed {
    AccountId tenant;
    // For requests that wait.
    uint32_t tokens { 0 };
    // For requests that are expected soon. Granted only if the bucket is at least half full.
    uint32_t tokensAhead { 0 };

    bool operator==(const QuotaNeed&) const = default;
};

// Asks the holder of a quota partition for tokens. A process that isn't the holder tries to become it.
struct QuotaRequest {
    uint64_t sequence { 0 };
    uint32_t partition { 0 };
    std::vector<QuotaNeed> needs;
    // True if the sender, the first candidate for the partition, could take it over from the receiver.
    bool wantsHandover { false };
    // Incarnation at the sender's start. A restarted process counts its sequences from 1 again, and the incarnation that its
    // messages carry rises while it runs.
    Incarnation requesterStart;
    // The holder, if the sender doesn't reach it. The receiver forwards the request to it.
    InstanceId forwardTo;
    // If the request was forwarded: the process that asks, and the version of its route table.
    InstanceId requester;
    Revision requesterRoutesVersion;
    // The holder that answered the sender neither directly nor through another process. Without it, the receiver may name
    // a holder that it read in the store some seconds ago.
    InstanceId unanswering;

    bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
    AccountId tenant;
    uint32_t tokens { 0 };
    uint32_t tokensAhead { 0 };
    // True if no quota is in force for the tenant; the sender of the request had an older route table.
    bool isUnlimited { false };
    // Time until the next token. Zero if nothing was refused.
    Duration nextToken { 0 };
    // When the first refused request should return. Later than the next token if earlier refusals were told to return
    // for that one.
    Duration retryAfter { 0 };

    bool operator==(const QuotaGrant&) const = default;
};

struct QuotaReply {
    uint64_t sequence { 0 };
    // From the QuotaRequest.
    Incarnation requesterStart;
    uint32_t partition { 0 };
    bool isHolder { false };
    // If the sender isn't the holder: the holder, as far as the sender knows; empty if it doesn't.
    InstanceId holder;
    std::vector<QuotaGrant> grants;
    // If the request was forwarded: the process that asks. The receiver forwards the reply to it.
    InstanceId requester;

    bool operator==(const QuotaReply&) const = default;
};

using MessageBody = std::variant<Ping, Ack, IndirectPing, IndirectAck, Gossip, Join, SyncDigest, SyncRecords,
    ClaimRequest, ClaimReply, ClaimOutcome, ClaimHandover, RouteTableRequest, RouteTablePart,
    ConfigurationProofRequest, ConfigurationProofReply, QuotaRequest, QuotaReply>;

// A message and its sender. The driver authenticates the sender's incarnation before it passes the message to the core.
struct Message {
    InstanceId from;
    Incarnation fromIncarnation;
    Endpoint fromControl;
    MessageBody body;
    // Version of the sender's route table; 0 if it has none.
    Revision routesVersion;

    bool operator==(const Message&) const = default;
};

}
