#pragma once

#include <LibDecision/Admission/SidecarAdmission.h>
#include <LibDecision/Claims/ClaimRequester.h>
#include <LibDecision/Claims/HolderFinder.h>
#include <LibDecision/Claims/KeptAnswers.h>
#include <LibDecision/Claims/OutcomeReports.h>
#include <LibDecision/Claims/PartitionManager.h>
#include <LibDecision/Claims/PauseDetector.h>
#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Turn.h>

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace Decision {

// Makes requests with an idempotency key run at most once. The keys of a service are divided into partitions. One
// process at a time, the holder, keeps a partition's claims in memory, fenced by a lease at the platform. A sidecar
// requests a claim from the holder before it runs a request with a key.
template <ClaimPeers Peers, ClaimBackends Backends>
class Claims {
public:
    Claims(const MemberRecord& self, const Peers& peers, const Backends& backends, const ProfileRegistry& profiles)
        : m_self { self.instance, self.incarnation }
        , m_peers(peers)
        , m_backends(backends)
        , m_profiles(profiles)
        , m_finder(peers, backends)
        , m_partitionManager(m_self)
        , m_answers(maximumKeptAnswers)
    {
    }

    void start(Turn& turn)
    {
        m_partitionManager.start(turn.now());
        m_pauseDetector.start(turn.now());
    }

    std::optional<Instant> nextTimer() const
    {
        auto sidecarTimer = earliest(earliest(m_requester.nextTimer(), m_reports.nextTimer()), m_answers.nextTimer());
        return earliest(earliest(sidecarTimer, m_partitionManager.nextTimer()), m_pauseDetector.nextTimer());
    }

    void handleTimer(Turn& turn)
    {
        m_pauseDetector.handleTimer(turn.now());
        m_partitionManager.handleTimer(turn);
        m_answers.handleTimer(turn);
        for (auto sequence : m_requester.takeDue(turn.now()))
            sendRequest(turn, sequence);
        sendReports(turn);
        flushMessages(turn);
    }

    // request(), finished() and findKeptAnswer() implement ClaimGate.
    void request(Turn& turn, SidecarCallId call, const RequestInfo& request, const Profile& profile)
    {
        if (auto kept = m_answers.find(request)) {
            m_decisions.push_back({ call, ClaimVerdict::Finished, turn.now(), m_self.instance, kept });
            return;
        }
        auto sequence = m_requester.open(turn.now(), call, request, profile);
        if (!m_pauseDetector.isFresh(turn.now()))
            return giveUp(turn, sequence, "the process was paused, so the request may be too old");
        sendRequest(turn, sequence);
        flushMessages(turn);
    }

    // Reports that the call's run ended, or that the call was abandoned before its run began.
    void finished(Turn& turn, SidecarCallId call, Outcome outcome)
    {
        auto sequence = m_requester.sequenceOf(call);
        if (!sequence)
            return;
        auto claim = m_requester.close(*sequence);
        // A request without a grant can't have run.
        auto reported = claim.isGranted ? outcome : Outcome::NotRun;
        if (reported == Outcome::Answered)
            m_answers.keep(turn, call, claim.request, turn.now() + claim.resendWindow);
        m_reports.add(turn.now(), outcomeMessage(*sequence, claim, reported));
        sendReports(turn);
        flushMessages(turn);
    }

    std::optional<SidecarCallId> findKeptAnswer(const RequestInfo& request) const { return m_answers.find(request); }

    // Returns the decisions made since the last call, for SidecarAdmission::claimDecided().
    std::vector<ClaimDecision> takeDecisions() { return std::exchange(m_decisions, {}); }

    // Handles ClaimRequest, ClaimReply, ClaimOutcome and ClaimHandover; ignores other messages.
    void receive(Turn& turn, const Message& message)
    {
        dispatch(turn, message);
        flushMessages(turn);
    }

    // Returns true if the holder supersedes the known one; it is then stored and disseminated.
    bool apply(Turn& turn, const ClaimHolder& holder)
    {
        bool isNewer = m_partitionManager.apply(turn, holder);
        if (isNewer)
            turn.spread(holder);
        return isNewer;
    }

    // Returns false if the reply belongs to another component.
    bool handleReply(Turn& turn, const PlatformReply& reply)
    {
        bool isOwn = m_partitionManager.handleReply(turn, reply);
        flushMessages(turn);
        return isOwn;
    }

    // Hands over every partition. isIdle() returns true once all of them are released and every outcome is confirmed,
    // or after a bounded time.
    void leave(Turn& turn)
    {
        m_partitionManager.leave(turn, [this](const PartitionId& id) { return m_finder.successor(id); });
        flushMessages(turn);
    }

    bool isIdle() const { return m_partitionManager.isIdle() && !m_reports.isWaiting(); }

    // Read access for status reports to operators.
    const PartitionManager& partitionManager() const { return m_partitionManager; }

private:
    // Upper bound of the answers that a process keeps for resends.
    static constexpr size_t maximumKeptAnswers = 4'096;

    struct QueuedMessage {
        InstanceId to;
        Endpoint control;
        MessageBody body;
    };

    const Profile& profileOf(const ServiceName& service) const { return m_profiles.profile(m_backends.profileOf(service)); }

    void sendRequest(Turn& turn, uint64_t sequence)
    {
        const auto& claim = *m_requester.find(sequence);
        if (turn.now() >= claim.decideBy)
            return giveUp(turn, sequence, "no holder answered in time");
        auto holder = m_finder.find(claim.partition, m_partitionManager.directory());
        if (!holder)
            return giveUp(turn, sequence, "no live process can hold the key's partition");
        // Refuses at once, because another sidecar may reach the holder.
        if (!m_peers.isReachable(*holder))
            return giveUp(turn, sequence, "the holder " + holder->value() + " is unreachable from this process");
        m_requester.markSent(sequence, turn.now());
        queueMessage(*holder, m_requester.message(sequence));
    }

    // Refuses the run. A holder that may have granted the claim is told that the request didn't run.
    void giveUp(Turn& turn, uint64_t sequence, const std::string& evidence)
    {
        auto claim = m_requester.close(sequence);
        if (claim.sends > 0)
            m_reports.add(turn.now(), outcomeMessage(sequence, claim, Outcome::NotRun));
        refuse(turn, claim, { claim.call, ClaimVerdict::NotHolder, turn.now() }, evidence);
    }

    void refuse(Turn& turn, const RequestedClaim& claim, ClaimDecision decision, const std::string& evidence)
    {
        DecisionEvent event;
        event.kind = DecisionKind::ClaimRefused;
        event.step = "claim";
        event.peer = decision.outcomeKeeper.isEmpty() ? "local" : decision.outcomeKeeper.value();
        event.service = claim.partition.service;
        event.request = claim.request.id;
        event.evidence = evidence;
        turn.recordDecision(std::move(event));
        m_decisions.push_back(std::move(decision));
    }

    void dispatch(Turn& turn, const Message& message)
    {
        ProcessIncarnation from { message.from, message.fromIncarnation };
        if (const auto* claimRequest = std::get_if<ClaimRequest>(&message.body))
            return answer(turn, { from, message.fromControl, *claimRequest });
        if (const auto* reply = std::get_if<ClaimReply>(&message.body))
            return handleClaimReply(turn, from.instance, *reply);
        if (const auto* outcome = std::get_if<ClaimOutcome>(&message.body))
            return queueMessage(from.instance, message.fromControl, m_partitionManager.recordOutcome(turn.now(), from, *outcome));
        if (const auto* handover = std::get_if<ClaimHandover>(&message.body))
            m_partitionManager.receive(turn, from, *handover, profileOf(handover->service));
    }

    void answer(Turn& turn, const IncomingClaimRequest& incoming)
    {
        auto owner = m_partitionManager.ownerOf(incoming.request);
        bool isOwnerGone = owner && m_finder.isGone(*owner);
        auto reply = m_partitionManager.answer(turn, incoming, profileOf(incoming.request.service), isOwnerGone);
        if (!reply)
            return;
        if (reply->verdict == ClaimVerdict::NotHolder)
            sendKnownHolder(incoming);
        queueMessage(incoming.process.instance, incoming.control, *reply);
    }

    // Tells the requester which process holds the partition.
    void sendKnownHolder(const IncomingClaimRequest& incoming)
    {
        const auto* known = m_partitionManager.directory().find({ incoming.request.service, incoming.request.partition });
        if (known && known->holder != m_self.instance && incoming.process.instance != m_self.instance)
            queueMessage(incoming.process.instance, incoming.control, Gossip { { *known } });
    }

    void handleClaimReply(Turn& turn, const InstanceId& from, const ClaimReply& reply)
    {
        if (reply.requesterIncarnation != m_self.incarnation)
            return;
        const auto* claim = m_requester.find(reply.sequence);
        if (!claim) {
            if (auto outcome = m_reports.handleReply(reply))
                queueMessage(from, *outcome);
            return;
        }
        if (claim->isGranted)
            return;
        if (turn.now() >= claim->decideBy)
            return giveUp(turn, reply.sequence, "the holder's reply arrived too late");
        bool isStale = reply.epoch < m_partitionManager.directory().epochOf(claim->partition);
        if (reply.verdict == ClaimVerdict::NotHolder || isStale)
            return m_requester.retryLater(reply.sequence, turn.now());
        if (reply.verdict == ClaimVerdict::Granted)
            return grant(turn, *claim, reply);
        handleRefusal(turn, reply);
    }

    void grant(Turn& turn, const RequestedClaim& claim, const ClaimReply& reply)
    {
        // The holder's lease had this validity when the holder sent its reply, which was after firstSentAt. Counting
        // from firstSentAt is therefore never too long.
        auto validUntil = std::min(claim.firstSentAt + reply.validity, claim.deadline);
        if (turn.now() >= validUntil)
            return giveUp(turn, reply.sequence, "the grant arrived after its validity had ended");
        m_decisions.push_back({ claim.call, ClaimVerdict::Granted, validUntil });
        m_requester.grant(reply.sequence);
    }

    void handleRefusal(Turn& turn, const ClaimReply& reply)
    {
        auto claim = m_requester.close(reply.sequence);
        ClaimDecision decision { claim.call, reply.verdict, turn.now(), reply.outcomeKeeper };
        if (reply.verdict == ClaimVerdict::Finished && reply.outcomeKeeper == m_self.instance) {
            decision.keptAnswer = m_answers.find(claim.request);
            if (!decision.keptAnswer)
                decision.verdict = ClaimVerdict::Unknown;
        }
        refuse(turn, claim, decision, "the holder replied: " + std::string(nameOf(decision.verdict)));
    }

    void sendReports(Turn& turn)
    {
        for (auto& outcome : m_reports.takeDue(turn.now())) {
            auto holder = m_finder.find({ outcome.service, outcome.partition }, m_partitionManager.directory());
            if (holder)
                queueMessage(*holder, std::move(outcome));
        }
    }

    void queueMessage(const InstanceId& to, MessageBody body)
    {
        if (to == m_self.instance)
            return queueMessage(to, {}, std::move(body));
        if (const auto* member = m_peers.find(to))
            queueMessage(to, member->control, std::move(body));
    }

    void queueMessage(const InstanceId& to, const Endpoint& control, MessageBody body) { m_messageQueue.push_back({ to, control, std::move(body) }); }

    // Sends the queued messages. Messages to this process itself are dispatched here, as are the messages that they
    // cause.
    void flushMessages(Turn& turn)
    {
        collectMessages(turn);
        while (!m_messageQueue.empty()) {
            auto queued = std::move(m_messageQueue.front());
            m_messageQueue.pop_front();
            deliver(turn, std::move(queued));
            collectMessages(turn);
        }
    }

    void deliver(Turn& turn, QueuedMessage queued)
    {
        if (queued.to == m_self.instance)
            return dispatch(turn, { m_self.instance, m_self.incarnation, queued.control, std::move(queued.body) });
        turn.emit(SendMessage { queued.control, queued.to, std::move(queued.body) });
    }

    void collectMessages(Turn& turn)
    {
        for (const auto& incoming : m_partitionManager.takeReadyRequests())
            answer(turn, incoming);
        for (auto& handover : m_partitionManager.takeHandoverParts(turn.now()))
            queueMessage(handover.to, std::move(handover.part));
    }

    ProcessIncarnation m_self;
    const Peers& m_peers;
    const Backends& m_backends;
    const ProfileRegistry& m_profiles;
    HolderFinder<Peers, Backends> m_finder;
    PauseDetector m_pauseDetector;
    PartitionManager m_partitionManager;
    ClaimRequester m_requester;
    OutcomeReports m_reports;
    KeptAnswers m_answers;
    std::vector<ClaimDecision> m_decisions;
    std::deque<QueuedMessage> m_messageQueue;
};

}
