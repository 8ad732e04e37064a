#pragma once

#include <LibDecision/Configuration/Backoff.h>
#include <LibDecision/Configuration/EraTrust.h>
#include <LibDecision/Configuration/RevisionProofs.h>
#include <LibDecision/Configuration/RouteConfiguration.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Turn.h>
#include <LibModel/Outcome.h>
#include <LibModel/Tenant.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

// Proves that the route table in force is the newest one that the store confirmed, so that a request whose key was
// revoked isn't accepted. It is active only with strict revocation and a table that has tenants; see
// docs/design/revocation.md.
//
// A proof is the instant at which a linearizable read was sent. It passes between processes by request and response: the
// requester's proof is the instant at which it sent the request, minus the age that the response reports. Instants are
// of the boot clock, which counts suspended time.
class ConfigurationProof {
public:
    ConfigurationProof(const TenantTerms&, const MemberRecord& self, const Membership&, const RouteConfiguration&);

    void observeSuspension(Duration suspendedTime);
    // Notes the era of any answer of the store.
    void noteEra(Instant now, uint64_t era);
    // Returns false if the reply belongs to another component. A table in the reply must be put in force by the caller.
    bool handleReply(Turn&, const PlatformReply&);
    // Handles ConfigurationProofRequest and ConfigurationProofReply; ignores other messages.
    void receive(Turn&, const Message&);
    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);
    // Must be called at the end of each turn: notices a new table, a suspension, and a proof that was lost or regained.
    void update(Turn&);

    bool isActive() const;
    // Age of the latest proof for the table in force; nothing if there is none.
    std::optional<Duration> age(Instant now) const;
    // Returns why a request with an API key must be refused, if it must.
    std::optional<Reason> refusal(Instant now) const;

private:
    // A linearizable read that hasn't been answered.
    struct PendingRead {
        PlatformTag tag;
        BootInstant sentAt;
        // State of the reads when it was sent.
        uint64_t index { 0 };
        std::optional<Revision> version;
    };

    // A request to another process.
    struct Question {
        uint64_t sequence { 0 };
        InstanceId peer;
        BootInstant sentAt;
    };

    // A step of a round: a process to ask, or nothing for a read of the store.
    using Step = std::optional<InstanceId>;

    const RevisionProof* proof() const { return m_proofs.latestFor(m_routes.version()); }
    // Shortens a time if the bound is shorter than the nominal one.
    Duration scaled(Duration nominal) const;
    bool isYoungerThan(Instant now, Duration limit) const;

    void reset();
    // One attempt to get a younger proof: goes through the sources until one has it.
    void startRound(Turn&);
    void takeNextStep(Turn&);
    void endRound(Turn&);
    std::vector<Step> planRound(Turn&);
    // Processes of the zone that read the store or ask those that do, in the order of their rank.
    std::vector<InstanceId> relaysOfZone() const;
    Duration roundInterval(Instant now) const;
    bool ask(Turn&, const InstanceId&);
    bool mayRead(Instant now) const;
    void read(Turn&);
    // Takes what the latest read proved once the store's era is trusted.
    void trustRead();
    // Arms or disarms the read of a process that gets no proof from others.
    void scheduleLastResort(Turn&);
    void answer(Turn&, const Message&, const ConfigurationProofRequest&) const;
    void receiveReply(Turn&, const Message&, const ConfigurationProofReply&);
    void reportChange(Turn&);

    TenantTerms m_terms;
    InstanceId m_self;
    Incarnation m_start;
    ZoneName m_zone;
    const Membership& m_membership;
    const RouteConfiguration& m_routes;

    SuspendedTime m_suspendedTime;
    EraTrust m_eraTrust;
    RevisionProofs m_proofs;

    bool m_wasActive { false };
    bool m_wasProven { false };
    bool m_hasResumed { false };
    bool m_hasNewEra { false };
    std::string m_lastSource;

    // Index and version of the latest read; no version if the configuration there can't be read.
    uint64_t m_readIndex { 0 };
    std::optional<Revision> m_readVersion;
    std::optional<RevisionProof> m_untrustedRead;
    std::vector<PendingRead> m_pendingReads;
    Backoff m_readBackoff;
    Instant m_readNotBefore {};
    std::optional<Instant> m_lastResortAt;

    uint64_t m_lastSequence { 0 };
    // The latest questions; one that is overdue may still be answered.
    std::deque<Question> m_questions;
    std::optional<Instant> m_answerDueAt;
    // The process that left a question unanswered. It is asked last.
    InstanceId m_silentPeer;
    std::vector<Step> m_steps;
    std::optional<Instant> m_nextRound;
    // Place among the relays of the zone when the round was planned.
    bool m_isRelay { false };
    size_t m_rank { 0 };
};

}
