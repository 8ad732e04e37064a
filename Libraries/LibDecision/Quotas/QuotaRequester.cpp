#include <LibDecision/Quotas/QuotaRequester.h>

#include <LibDecision/Quotas/QuotaBuckets.h>

#include <algorithm>

namespace Decision {

namespace {

    // A question without an answer is asked again elsewhere after this time.
    constexpr Duration questionTimeout = 100ms;
    // Pause before the next question if no process knows the holder.
    constexpr Duration searchInterval = 50ms;
    // Number of replies that name another holder before the requester pauses.
    constexpr uint32_t maximumRedirections = 2;
    // Number of replies without a holder after which the next candidate is asked.
    constexpr uint32_t repliesPerCandidate = 4;
    // Number of candidates that are asked in turn.
    constexpr size_t candidateCount = 3;
    // A holder that didn't answer here is asked through another process for this time, before it is asked directly again.
    // Each direct question to it costs the calls that wait 100 ms.
    constexpr Duration forwardingTime = 5s;
    // Upper bound of the calls that wait.
    constexpr size_t maximumWaitingCalls = 4096;
    // Upper bound of the tokens that are asked for ahead.
    constexpr uint32_t maximumAhead = 50;
    // A vacant partition has a holder again within about 2 s.
    constexpr Duration shortestVacancyHint = 1s;
    constexpr Duration longestVacancyHint = 2500ms;
    constexpr Duration pruneInterval = 10s;

    Duration intervalOf(const Tenant* tenant)
    {
        return tenant ? std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(1 / tenant->requestsPerSecond, 60.0))) : Duration(0);
    }

    template <typename Random>
    Duration vacancyHint(Random& random)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(Duration(shortestVacancyHint).count(), Duration(longestVacancyHint).count())(random));
    }

}

QuotaRequester::QuotaRequester(const ProcessIncarnation& self, const QuotaDirectory& directory, const QuotaTerms& terms, RankCandidates rank)
    : m_self(self)
    , m_directory(directory)
    , m_terms(terms)
    , m_rank(std::move(rank))
{
}

void QuotaRequester::arrive(Turn& turn, const CallArrived& call, const Tenant& tenant, const SuspensionClock& clock)
{
    auto now = turn.now();
    auto number = quotaPartitionOf(tenant.name);
    auto& partition = m_partitions[number];
    auto& state = m_tenants[tenant.name];
    countArrival(now, state);
    // What is read shortly after a pause may have been sent long before, and would use tokens of a later window.
    bool isFresh = m_pauseDetector.isFresh(now) && now >= m_staleUntil;
    bool isSearching = partition.unansweredSince && hasWaiting(partition);
    if (!isFresh || isSearching || m_calls.size() >= maximumWaitingCalls) {
        ++m_counters.unavailable;
        m_decisions.push_back({ call, Reason::QuotaUnavailable, vacancyHint(turn.random()) });
        return;
    }
    if (state.tokensAhead > 0 && clock.at(now) < state.aheadUntil) {
        --state.tokensAhead;
        ++m_counters.passed;
        ++m_counters.passedAhead;
        m_decisions.push_back({ call, std::nullopt });
        return;
    }
    if (m_calls.contains(call.call))
        return;
    auto wait = std::min(m_terms.longestWait(), call.request.remaining.value_or(m_terms.longestWait()));
    m_calls.emplace(call.call, WaitingCall { call, now, clock.at(now) + wait, number });
    if (now < state.noneBefore) {
        ++m_counters.exceededLocally;
        refuseExceeded(now, state, tenant.name, call.call);
        return;
    }
    m_expiries.set(call.call, now + wait);
    if (state.waiting.empty())
        partition.tenants.push_back(tenant.name);
    state.waiting.push_back(call.call);
    askPartition(turn, number, partition, clock);
}

void QuotaRequester::countArrival(Instant now, TenantState& state) const
{
    if (now >= state.countedFrom + m_terms.aheadValidity()) {
        state.arrivalsBefore = now < state.countedFrom + 2 * m_terms.aheadValidity() ? state.arrivals : 0;
        state.arrivals = 0;
        state.countedFrom = now;
    }
    ++state.arrivals;
}

// Expects as many calls until the tokens expire as arrived in the interval before. One alone isn't worth a token.
uint32_t QuotaRequester::aheadOf(Instant now, const TenantState& state) const
{
    bool isRecent = now < state.countedFrom + m_terms.aheadValidity();
    auto expected = isRecent ? state.arrivalsBefore : 0;
    return expected < 2 ? 0 : std::min(expected, maximumAhead);
}

bool QuotaRequester::hasWaiting(const Partition& partition) const { return !partition.tenants.empty(); }

QuotaRequester::Target QuotaRequester::targetOf(Instant now, uint32_t number, const Partition& partition) const
{
    bool isForwarded = !partition.forwarder.isEmpty() && now < partition.forwardUntil;
    if (!partition.holder.isEmpty())
        return isForwarded ? Target { partition.forwarder, partition.holder } : Target { partition.holder, {} };
    auto candidates = m_rank(number);
    if (candidates.empty())
        return { m_self.instance, {} };
    return { candidates[partition.nextCandidate % std::min(candidates.size(), candidateCount)], {} };
}

// Returns a candidate other than the holder and this process; empty if there is none.
InstanceId QuotaRequester::chooseForwarder(uint32_t number, const Partition& partition) const
{
    auto candidates = m_rank(number);
    std::erase_if(candidates, [&](const InstanceId& candidate) { return candidate == partition.holder || candidate == m_self.instance; });
    return candidates.empty() ? InstanceId() : candidates[partition.nextCandidate % candidates.size()];
}

void QuotaRequester::ask(Turn& turn, const SuspensionClock& clock)
{
    for (uint32_t number = 0; number < quotaPartitionCount; ++number)
        askPartition(turn, number, m_partitions[number], clock);
}

void QuotaRequester::askPartition(Turn& turn, uint32_t number, Partition& partition, const SuspensionClock& clock)
{
    if (partition.question || !hasWaiting(partition) || turn.now() < partition.askAgainAt)
        return;
    Question question { ++m_lastSequence, targetOf(turn.now(), number, partition), turn.now(), clock.at(turn.now()), {} };
    QuotaRequest request { .sequence = question.sequence, .partition = number, .requesterStart = m_self.incarnation, .forwardTo = question.target.forwardTo, .unanswering = partition.unanswering };
    for (const auto& tenant : partition.tenants) {
        const auto& state = m_tenants.at(tenant);
        auto wanted = static_cast<uint32_t>(state.waiting.size());
        question.wanted[tenant] = wanted;
        request.needs.push_back({ tenant, wanted, aheadOf(turn.now(), state) });
    }
    ++m_counters.questions;
    m_counters.forwardedQuestions += question.target.forwardTo.isEmpty() ? 0 : 1;
    m_requests.push_back({ question.target.to, std::move(request) });
    partition.question = std::move(question);
    m_timeouts.set(number, turn.now() + questionTimeout);
}

void QuotaRequester::receive(Turn& turn, const InstanceId& from, const QuotaReply& reply, const SuspensionClock& clock)
{
    if (reply.partition >= quotaPartitionCount || reply.requesterStart != m_self.incarnation)
        return;
    auto& partition = m_partitions[reply.partition];
    if (!partition.question || partition.question->sequence != reply.sequence || partition.question->target.to != from) {
        ++m_counters.lateReplies;
        return;
    }
    auto question = std::move(*partition.question);
    partition.question.reset();
    m_timeouts.cancel(reply.partition);
    ++m_counters.answeredQuestions;
    m_counters.roundTrips += turn.now() - question.sentAt;
    if (reply.isHolder) {
        noteHolder(partition, question.target, reply.requester == m_self.instance);
        bool isInTime = clock.at(turn.now()) - question.sentAtBoot < m_terms.tokenValidity;
        for (const auto& grant : reply.grants)
            apply(turn, question, grant, isInTime, clock);
        // The holder leaves out a tenant that only a newer table has, which it is about to get.
        if (reply.grants.size() < question.wanted.size()) {
            partition.askAgainAt = turn.now() + searchInterval;
            m_timeouts.set(reply.partition, partition.askAgainAt);
        }
        std::erase_if(partition.tenants, [&](const AccountId& tenant) { return m_tenants.at(tenant).waiting.empty(); });
        return;
    }
    bool namesAnother = !reply.holder.isEmpty() && reply.holder != from;
    noteOtherHolder(turn.now(), partition, from, namesAnother ? reply.holder : InstanceId());
    if (namesAnother && ++partition.redirections <= maximumRedirections)
        return;
    partition.redirections = 0;
    partition.holder = {};
    // The candidate is acquiring the vacant partition. If others were asked too, all of them would race for it.
    if (++partition.vacantReplies % repliesPerCandidate == 0)
        ++partition.nextCandidate;
    partition.askAgainAt = turn.now() + searchInterval;
    m_timeouts.set(reply.partition, partition.askAgainAt);
}

void QuotaRequester::noteHolder(Partition& partition, const Target& target, bool isForwarded)
{
    partition.holder = isForwarded ? target.forwardTo : target.to;
    if (!isForwarded) {
        partition.forwarder = {};
        partition.unanswering = {};
    }
    partition.nextCandidate = 0;
    partition.redirections = 0;
    partition.vacantReplies = 0;
    partition.unansweredSince.reset();
}

// The process that names a holder which doesn't answer here may reach it.
void QuotaRequester::noteOtherHolder(Instant now, Partition& partition, const InstanceId& from, const InstanceId& holder)
{
    bool isUnanswering = !holder.isEmpty() && holder == partition.unanswering;
    partition.holder = holder;
    partition.forwarder = isUnanswering ? from : InstanceId();
    partition.forwardUntil = now + forwardingTime;
}

// A holder that doesn't answer is asked through another process. If that isn't answered either, a candidate is asked as
// if there were no holder, so that a dead one is noticed.
void QuotaRequester::noteUnanswered(Instant now, uint32_t number, Partition& partition, const Target& target)
{
    bool wasHolder = target.to == partition.holder;
    if (wasHolder)
        partition.unanswering = target.to;
    auto forwarder = wasHolder ? chooseForwarder(number, partition) : InstanceId();
    if (!forwarder.isEmpty()) {
        partition.forwarder = forwarder;
        partition.forwardUntil = now + forwardingTime;
        return;
    }
    auto candidates = m_rank(number);
    // The process that didn't answer isn't asked first again.
    bool wasFirst = !candidates.empty() && (candidates.front() == target.to || candidates.front() == target.forwardTo);
    partition.nextCandidate = partition.holder.isEmpty() ? partition.nextCandidate + 1 : (wasFirst ? 1 : 0);
    partition.holder = {};
    partition.forwarder = {};
}

void QuotaRequester::apply(Turn& turn, const Question& question, const QuotaGrant& grant, bool isInTime, const SuspensionClock& clock)
{
    auto wanted = question.wanted.find(grant.tenant);
    auto entry = m_tenants.find(grant.tenant);
    if (wanted == question.wanted.end() || entry == m_tenants.end())
        return;
    auto& state = entry->second;
    auto now = turn.now();
    auto passable = grant.isUnlimited ? static_cast<uint32_t>(state.waiting.size()) : std::min(grant.tokens, wanted->second);
    bool isRefused = !grant.isUnlimited && grant.tokens < wanted->second;
    while (isInTime && passable > 0 && !state.waiting.empty()) {
        auto id = state.waiting.front();
        // The timer is late if this process was paused.
        if (clock.at(now) >= m_calls.at(id).expiresAt)
            refuseUnavailable(turn, id, Reason::QuotaUnavailable);
        else {
            decide(now, id, std::nullopt, Duration(0));
            --passable;
        }
    }
    state.tokensAhead = isInTime ? grant.tokensAhead : 0;
    state.aheadUntil = question.sentAtBoot + m_terms.aheadValidity();
    if (!isRefused)
        return;
    state.noneBefore = now + grant.nextToken;
    state.nextReturn = now + grant.retryAfter;
    // Calls that arrived after the question wouldn't get a token either.
    while (!state.waiting.empty())
        refuseExceeded(now, state, grant.tenant, state.waiting.front());
}

void QuotaRequester::refuseExceeded(Instant now, TenantState& state, const AccountId& tenant, CallId call)
{
    if (state.nextReturn < state.noneBefore || state.nextReturn > now + longestQuotaReturn)
        state.nextReturn = state.noneBefore;
    auto retryAfter = std::max<Duration>(state.nextReturn - now, 1ms);
    state.nextReturn += intervalOf(m_directory.find(tenant));
    ++m_counters.exceeded;
    decide(now, call, Reason::QuotaExceeded, retryAfter);
}

void QuotaRequester::refuseUnavailable(Turn& turn, CallId call, Reason reason)
{
    ++m_counters.unavailable;
    decide(turn.now(), call, reason, vacancyHint(turn.random()));
}

void QuotaRequester::decide(Instant now, CallId id, std::optional<Reason> refusal, Duration retryAfter)
{
    auto waiting = m_calls.at(id);
    forget(id);
    auto waited = now - waiting.arrivedAt;
    if (waiting.call.request.remaining)
        *waiting.call.request.remaining -= std::min(waited, *waiting.call.request.remaining);
    if (waiting.call.terms)
        waiting.call.terms->timeout -= std::min(waited, waiting.call.terms->timeout);
    if (!refusal)
        ++m_counters.passed;
    m_decisions.push_back({ std::move(waiting.call), refusal, retryAfter });
}

void QuotaRequester::forget(CallId id)
{
    auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    auto tenant = m_tenants.find(call->second.call.request.account);
    if (tenant != m_tenants.end())
        std::erase(tenant->second.waiting, id);
    m_expiries.cancel(id);
    m_calls.erase(call);
}

void QuotaRequester::callerGone(CallId id)
{
    auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    auto& partition = m_partitions[call->second.partition];
    auto tenant = call->second.call.request.account;
    forget(id);
    if (m_tenants.at(tenant).waiting.empty())
        std::erase(partition.tenants, tenant);
}

void QuotaRequester::releaseAll(Turn& turn)
{
    while (!m_calls.empty())
        decide(turn.now(), m_calls.begin()->first, std::nullopt, Duration(0));
    for (uint32_t number = 0; number < quotaPartitionCount; ++number)
        m_timeouts.cancel(number);
    m_partitions = {};
    m_tenants.clear();
}

void QuotaRequester::refuseAll(Turn& turn)
{
    while (!m_calls.empty())
        decide(turn.now(), m_calls.begin()->first, Reason::ProcessLeaving, Duration(0));
}

std::optional<Instant> QuotaRequester::nextTimer() const
{
    return earliest(earliest(m_expiries.next(), m_timeouts.next()), m_pauseDetector.nextTimer());
}

void QuotaRequester::handleTimer(Turn& turn)
{
    m_pauseDetector.handleTimer(turn.now());
    for (auto number : m_timeouts.takeDue(turn.now())) {
        auto& partition = m_partitions[number];
        if (!partition.question)
            continue;
        ++m_counters.unansweredQuestions;
        noteUnanswered(turn.now(), number, partition, partition.question->target);
        partition.question.reset();
    }
    for (auto id : m_expiries.takeDue(turn.now())) {
        auto& waiting = m_calls.at(id);
        auto& partition = m_partitions[waiting.partition];
        auto tenant = waiting.call.request.account;
        bool isDeadline = waiting.call.request.remaining && *waiting.call.request.remaining <= m_terms.longestWait();
        if (!isDeadline && !partition.unansweredSince) {
            partition.unansweredSince = waiting.arrivedAt;
            turn.recordDecision({ .kind = DecisionKind::QuotaUnanswered, .step = "quota", .peer = "local", .evidence = "partition " + std::to_string(waiting.partition) + ": no holder answered; requests of tenant " + tenant.value() + " and others are refused" });
        }
        refuseUnavailable(turn, id, isDeadline ? Reason::DeadlineExceeded : Reason::QuotaUnavailable);
        if (m_tenants.at(tenant).waiting.empty())
            std::erase(partition.tenants, tenant);
    }
    if (turn.now() >= m_pruneAt)
        pruneTenants(turn.now());
}

void QuotaRequester::pruneTenants(Instant now)
{
    m_pruneAt = now + pruneInterval;
    std::erase_if(m_tenants, [&](const auto& entry) {
        const auto& state = entry.second;
        return state.waiting.empty() && state.noneBefore < now && state.countedFrom + pruneInterval < now;
    });
}

}
