#include <LibDecision/Claims/ClaimRequester.h>

#include <algorithm>

namespace Decision {

namespace {

    using namespace std::chrono_literals;

    // A request without a reply is sent again after this time.
    constexpr Duration retransmissionInterval = 200ms;
    // A request that a process refused because it isn't the holder is sent again after this time.
    constexpr Duration notHolderRetryDelay = 50ms;
    // A request without a reply is abandoned after this time, so that the ingress can try another sidecar, whose
    // network path to the holder may be intact.
    constexpr Duration requestTimeout = 700ms;
    // A sidecar may fail to detect a pause of its own process that is shorter than this. Its requests are then older
    // than it assumes.
    constexpr Duration undetectedPauseMargin = 1s;

}

uint64_t ClaimRequester::open(Instant now, SidecarCallId call, const RequestInfo& request, const Profile& profile)
{
    auto remaining = request.remaining.value_or(profile.deadlines.maximumDeadline);
    auto resendWindow = profile.idempotency.resendWindow;
    auto deadline = now + remaining;
    auto sequence = ++m_lastSequence;
    auto partition = partitionOf(request.service, request.account, request.key.value_or(IdempotencyKey()));
    m_claims.emplace(sequence, RequestedClaim { call, request, partition, claimRetention(profile, remaining), resendWindow, now, std::min(deadline, now + requestTimeout), deadline });
    m_sequences.insert_or_assign(call, sequence);
    m_timers.set(sequence, now);
    return sequence;
}

std::vector<uint64_t> ClaimRequester::takeDue(Instant now)
{
    return m_timers.takeDue(now);
}

void ClaimRequester::markSent(uint64_t sequence, Instant now)
{
    auto& claim = m_claims.at(sequence);
    ++claim.sends;
    m_timers.set(sequence, std::min(now + retransmissionInterval, claim.decideBy));
}

const RequestedClaim* ClaimRequester::find(uint64_t sequence) const
{
    auto claim = m_claims.find(sequence);
    return claim == m_claims.end() ? nullptr : &claim->second;
}

std::optional<uint64_t> ClaimRequester::sequenceOf(SidecarCallId call) const
{
    auto sequence = m_sequences.find(call);
    if (sequence == m_sequences.end())
        return std::nullopt;
    return sequence->second;
}

ClaimRequest ClaimRequester::message(uint64_t sequence) const
{
    const auto& claim = m_claims.at(sequence);
    return { sequence, claim.partition.service, claim.partition.partition, claim.request.account,
        claim.request.key.value_or(IdempotencyKey()), claim.request.fingerprint, claim.request.id, claim.retention };
}

void ClaimRequester::retryLater(uint64_t sequence, Instant now)
{
    m_timers.set(sequence, std::min(now + notHolderRetryDelay, m_claims.at(sequence).decideBy));
}

void ClaimRequester::grant(uint64_t sequence)
{
    m_claims.at(sequence).isGranted = true;
    m_timers.cancel(sequence);
}

RequestedClaim ClaimRequester::close(uint64_t sequence)
{
    auto claim = m_claims.extract(sequence);
    m_timers.cancel(sequence);
    m_sequences.erase(claim.mapped().call);
    return std::move(claim.mapped());
}

Duration claimRetention(const Profile& profile, Duration remaining)
{
    // A resend may take as long as the maximum deadline: its ingress cancels it after that.
    return remaining + profile.idempotency.resendWindow + profile.deadlines.maximumDeadline + undetectedPauseMargin;
}

ClaimOutcome outcomeMessage(uint64_t sequence, const RequestedClaim& claim, Outcome outcome)
{
    return { sequence, claim.partition.service, claim.partition.partition, claim.request.account,
        claim.request.key.value_or(IdempotencyKey()), claim.request.id, outcome };
}

}
