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

// The control messages that processes of the fleet send each other. Every message is a one-way notification.
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

// What the fleet knows of one process. A higher incarnation supersedes; within one, the later state does.
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

// What the fleet knows of one backend server. Only its sidecar writes it; a higher version supersedes
// records of the same sidecar incarnation, a higher backend incarnation supersedes another sidecar's.
struct BackendRecord {
    BackendId id;
    ServiceName service;
    ProfileName profile;
    // Process that stands before it.
    InstanceId sidecar;
    Incarnation sidecarIncarnation;
    // The backend server's own incarnation.
    Incarnation incarnation;
    uint64_t version { 0 };
    uint32_t slots { 1 };
    double weight { 1.0 };
    BackendPhase phase { BackendPhase::Serving };

    bool operator==(const BackendRecord&) const = default;
};

// What one process has seen of a backend server, spread when its verdict changes.
struct HealthReport {
    BackendId backend;
    Incarnation backendIncarnation;
    InstanceId observer;
    // True if the observer is the backend server's sidecar, which sees it without the path between processes.
    bool isFromSidecar { false };
    // 0 is healthy, 1 is certainly sick.
    double suspicion { 0 };
    // Grows with each report of this observer about this backend server.
    uint64_t version { 0 };

    bool operator==(const HealthReport&) const = default;
};

// A request that took down a backend server.
struct CrashReport {
    Fingerprint fingerprint;
    BackendId victim;
    Incarnation victimIncarnation;

    bool operator==(const CrashReport&) const = default;
};

// Which process holds the claims of one partition of a service's idempotency keys.
struct ClaimHolder {
    ServiceName service;
    uint32_t partition { 0 };
    InstanceId holder;
    Incarnation holderIncarnation;
    ClaimEpoch epoch;

    bool operator==(const ClaimHolder&) const = default;
};

// News that processes pass on until enough of them have heard it.
using Rumor = std::variant<MemberRecord, BackendRecord, HealthReport, CrashReport, ClaimHolder, ProfileRevision>;

// Asks for an answer within the probe timeout. Carries rumors, as does its answer.
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

// Asks a third process to ping the target for the sender.
struct IndirectPing {
    uint64_t sequence { 0 };
    InstanceId target;
    Endpoint targetControl;

    bool operator==(const IndirectPing&) const = default;
};

// Says that the target answered the third process.
struct IndirectAck {
    uint64_t sequence { 0 };
    InstanceId target;

    bool operator==(const IndirectAck&) const = default;
};

// Rumors alone, for news that can't wait for the next ping: a drain, a new profile revision, a sidecar's verdict.
struct Gossip {
    std::vector<Rumor> rumors;

    bool operator==(const Gossip&) const = default;
};

// A process that isn't a member yet introduces itself to a seed.
struct Join {
    MemberRecord member;

    bool operator==(const Join&) const = default;
};

// Hashes of everything that the sender knows, one per bucket of record keys, for anti-entropy.
struct SyncDigest {
    std::vector<uint64_t> bucketHashes;
    // True if the receiver should answer with a digest of its own.
    bool wantsAnswer { false };

    bool operator==(const SyncDigest&) const = default;
};

// The sender's records of some buckets. The receiver adopts what is newer and, if asked, answers with its own.
struct SyncRecords {
    std::vector<uint32_t> buckets;
    std::vector<Rumor> records;
    bool wantsAnswer { false };

    bool operator==(const SyncRecords&) const = default;
};

enum class ClaimVerdict {
    // The key is new: the asker may run the request, within the validity.
    Granted,
    // The key's first request is running or its outcome isn't known.
    Unknown,
    // The key's first request is still running.
    InProgress,
    // The key's first request finished; the answer is kept at the named process.
    Finished,
    // The asked process doesn't hold the partition or can't prove that it does.
    NotHolder,
    // The holder is new and an earlier holder's claims may still count.
    Settling,
    // The key was used with another request.
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

// A sidecar asks the holder of a key's partition whether it may run the request.
struct ClaimRequest {
    uint64_t sequence { 0 };
    ServiceName service;
    uint32_t partition { 0 };
    AccountId account;
    IdempotencyKey key;
    Fingerprint fingerprint;
    RequestId request;
    // How long the key counts from the grant on: the request's remaining deadline and the profile's resend window.
    Duration resendWindow { 0 };

    bool operator==(const ClaimRequest&) const = default;
};

struct ClaimReply {
    uint64_t sequence { 0 };
    // The life of the process that asked. A process that started anew counts its sequences from 1 again.
    Incarnation askerIncarnation;
    ClaimVerdict verdict { ClaimVerdict::NotHolder };
    // Counted from the asker's own instant of sending the request; a grant is void after it.
    Duration validity { 0 };
    ClaimEpoch epoch;
    // Where the first outcome is kept, if the verdict is Finished.
    InstanceId outcomeKeeper;

    bool operator==(const ClaimReply&) const = default;
};

// The sidecar tells the holder how a granted claim ended, until a ClaimReply with the sequence confirms it.
// That reply carries the verdict that a resend of the request would now get.
struct ClaimOutcome {
    // The sequence of the ClaimRequest, which tells the claims of one request's several attempts apart.
    uint64_t sequence { 0 };
    ServiceName service;
    uint32_t partition { 0 };
    AccountId account;
    IdempotencyKey key;
    RequestId request;
    // NotRun frees the key.
    Outcome outcome { Outcome::Unknown };

    bool operator==(const ClaimOutcome&) const = default;
};

// One claim, handed over by a holder that leaves.
struct ClaimEntry {
    AccountId account;
    IdempotencyKey key;
    Fingerprint fingerprint;
    RequestId request;
    Outcome outcome { Outcome::Unknown };
    bool isRunning { false };
    // The sidecar that asked for the claim, which keeps the outcome.
    InstanceId outcomeKeeper;
    Incarnation keeperIncarnation;
    // The sequence of that sidecar's ClaimRequest.
    uint64_t sequence { 0 };
    // What is left of the resend window.
    Duration remaining { 0 };

    bool operator==(const ClaimEntry&) const = default;
};

struct ClaimHandover {
    ServiceName service;
    uint32_t partition { 0 };
    ClaimEpoch epoch;
    // Counts from 0; the last part says so.
    uint32_t part { 0 };
    bool isLastPart { true };
    std::vector<ClaimEntry> entries;

    bool operator==(const ClaimHandover&) const = default;
};

// Asks for the receiver's route table, because it mentioned a higher version than the known one.
struct RouteTableRequest {
    Revision known;

    bool operator==(const RouteTableRequest&) const = default;
};

// A part of the sender's route table: some of its routes. The first part has the rest of the table as well.
struct RouteTablePart {
    // Counts from 0.
    uint32_t number { 0 };
    uint32_t count { 1 };
    RouteTable table;

    bool operator==(const RouteTablePart&) const = default;
};

using MessageBody = std::variant<Ping, Ack, IndirectPing, IndirectAck, Gossip, Join, SyncDigest, SyncRecords,
    ClaimRequest, ClaimReply, ClaimOutcome, ClaimHandover, RouteTableRequest, RouteTablePart>;

// A message with its sender. The sender's incarnation is authenticated by the shell before the core sees it.
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
