#include <LibDecision/Configuration/ConfigurationProof.h>

#include <LibDecision/Configuration/ZoneMembers.h>
#include <LibDecision/Rendezvous.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace Decision {

namespace {

    // Part of the bound by which acceptance ends early. All the time between a proof and its use is measured by some
    // process's clock, so it covers clocks that run up to 2 % too slowly; slewed clocks differ by 0.05 %.
    constexpr int marginDivisor = 50;
    // Added to each reported age, since durations are whole microseconds.
    constexpr Duration reportMargin = 1ms;

    // Ranks of processes that read the store: the watchers of the zone.
    constexpr size_t readers = RouteConfiguration::watchersPerZone;
    // A relay answers the questions of so many processes.
    constexpr size_t processesPerRelay = 16;

    // The bound for which the times below are meant; those of a shorter one are shorter in proportion.
    constexpr Duration nominalBound = 5s;
    // The proofs of a process that neither reads nor relays are at most about 2.1 s old: the sum of the three intervals.
    constexpr Duration readInterval = 1s;
    constexpr Duration relayInterval = 400ms;
    constexpr Duration askInterval = 700ms;
    // Interval of rounds that brought no fresh proof.
    constexpr Duration retryInterval = 150ms;
    constexpr Duration answerTimeout = 300ms;
    // An older proof shows that its sources have failed, so another one is asked.
    constexpr Duration freshAge = 1600ms;
    // A process whose proof is older reads the store itself, after a random delay.
    constexpr Duration staleAge = 2s;
    constexpr Duration shortestDelay = 300ms;
    constexpr Duration longestDelay = 900ms;

    constexpr Duration firstBackoff = 100ms;
    constexpr Duration maximumBackoff = 1s;
    constexpr size_t maximumPendingReads = 2;
    constexpr size_t keptQuestions = 4;
    // Shorter growth of the suspended time is an error of reading two clocks one after the other.
    constexpr Duration shortestSuspension = 10ms;

    std::string inMilliseconds(Duration duration) { return std::to_string(duration / 1ms) + " ms"; }

}

ConfigurationProof::ConfigurationProof(const TenantTerms& terms, const MemberRecord& self, const Membership& membership, const RouteConfiguration& routes)
    : m_terms(terms)
    , m_self(self.instance)
    , m_start(self.incarnation)
    , m_zone(self.zone)
    , m_membership(membership)
    , m_routes(routes)
    , m_eraTrust(terms.revocationBound)
    , m_readBackoff(firstBackoff, maximumBackoff)
{
}

bool ConfigurationProof::isActive() const
{
    return m_terms.hasStrictRevocation && m_routes.table() && !m_routes.table()->tenants.empty();
}

std::optional<Duration> ConfigurationProof::age(Instant now) const
{
    const auto* known = proof();
    return known ? std::optional(m_suspendedTime.bootInstant(now) - known->at) : std::nullopt;
}

bool ConfigurationProof::isYoungerThan(Instant now, Duration limit) const
{
    auto known = age(now);
    return known && *known < limit;
}

Duration ConfigurationProof::scaled(Duration nominal) const
{
    return nominal * std::min(m_terms.revocationBound, nominalBound).count() / nominalBound.count();
}

std::optional<Reason> ConfigurationProof::refusal(Instant now) const
{
    if (!isActive() || isYoungerThan(now, m_terms.revocationBound - m_terms.revocationBound / marginDivisor))
        return std::nullopt;
    return Reason::ConfigurationUnproven;
}

void ConfigurationProof::observeSuspension(Duration suspendedTime)
{
    m_hasResumed |= m_suspendedTime.observe(suspendedTime) >= shortestSuspension;
}

void ConfigurationProof::noteEra(Instant now, uint64_t era)
{
    if (!m_terms.hasStrictRevocation || !m_eraTrust.note(m_suspendedTime.bootInstant(now), era))
        return;
    // The sooner the version is known that the store came back with, the sooner a later one shows.
    m_hasNewEra = true;
    m_readNotBefore = now;
}

void ConfigurationProof::reset()
{
    m_proofs.clear();
    m_untrustedRead.reset();
    m_questions.clear();
    m_pendingReads.clear();
    m_steps.clear();
    m_answerDueAt.reset();
    m_nextRound.reset();
    m_lastResortAt.reset();
    m_wasProven = false;
}

void ConfigurationProof::update(Turn& turn)
{
    bool isActive = this->isActive();
    bool hasBegun = isActive && !m_wasActive;
    bool hasResumed = std::exchange(m_hasResumed, false);
    if (!isActive && m_wasActive)
        reset();
    m_wasActive = isActive;
    if (!isActive)
        return;
    bool hasNewEra = std::exchange(m_hasNewEra, false);
    if (hasBegun || hasNewEra || (hasResumed && !isYoungerThan(turn.now(), scaled(readInterval))))
        startRound(turn);
    scheduleLastResort(turn);
    reportChange(turn);
}

std::optional<Instant> ConfigurationProof::nextTimer() const
{
    if (!m_wasActive)
        return std::nullopt;
    auto next = earliest(earliest(m_nextRound, m_answerDueAt), m_lastResortAt);
    const auto* known = proof();
    if (m_wasProven && known)
        next = earliest(next, m_suspendedTime.steadyInstant(known->at + m_terms.revocationBound - m_terms.revocationBound / marginDivisor));
    return next;
}

void ConfigurationProof::handleTimer(Turn& turn)
{
    auto isDue = [&](const std::optional<Instant>& timer) { return timer && turn.now() >= *timer; };
    if (isDue(m_lastResortAt)) {
        m_lastResortAt.reset();
        if (mayRead(turn.now()))
            read(turn);
    }
    if (isDue(m_answerDueAt)) {
        m_silentPeer = m_questions.back().peer;
        m_answerDueAt.reset();
        takeNextStep(turn);
    } else if (isDue(m_nextRound)) {
        startRound(turn);
    }
}

void ConfigurationProof::startRound(Turn& turn)
{
    m_nextRound.reset();
    m_answerDueAt.reset();
    m_steps = planRound(turn);
    takeNextStep(turn);
}

std::vector<InstanceId> ConfigurationProof::relaysOfZone() const
{
    auto members = liveMembersOfZone(m_membership, m_zone);
    auto count = std::max(readers, members.size() / processesPerRelay);
    return rendezvousChoice(routesKey, std::move(members), count);
}

std::vector<ConfigurationProof::Step> ConfigurationProof::planRound(Turn& turn)
{
    auto relays = relaysOfZone();
    auto self = std::ranges::find(relays, m_self);
    m_rank = static_cast<size_t>(self - relays.begin());
    m_isRelay = self != relays.end() || relays.empty();
    bool isReader = m_isRelay && m_rank < readers;

    std::vector<InstanceId> peers;
    if (m_isRelay) {
        // A relay asks those of a lower rank, so that relays don't wait for each other.
        std::ranges::copy(relays.begin(), relays.begin() + static_cast<ptrdiff_t>(std::min(m_rank, readers)), std::back_inserter(peers));
    } else {
        peers = rendezvousChoice(m_self.value(), relays, readers);
    }
    std::stable_partition(peers.begin(), peers.end(), [this](const InstanceId& peer) { return peer != m_silentPeer; });

    std::vector<Step> steps(peers.begin(), peers.end());
    if (isReader)
        steps.emplace_back();
    if (m_isRelay)
        std::ranges::copy_if(relays, std::back_inserter(steps), [&](const InstanceId& peer) { return peer != m_self && std::ranges::find(peers, peer) == peers.end(); });
    std::vector<InstanceId> others;
    std::ranges::copy_if(m_membership.liveMembers(), std::back_inserter(others), [&](const InstanceId& peer) {
        return peer != m_self && std::ranges::find(relays, peer) == relays.end();
    });
    std::ranges::sample(others, std::back_inserter(steps), 1, turn.random());
    return steps;
}

void ConfigurationProof::takeNextStep(Turn& turn)
{
    while (!m_steps.empty()) {
        auto step = std::move(m_steps.front());
        m_steps.erase(m_steps.begin());
        if (step && ask(turn, *step))
            return;
        if (step)
            continue;
        if (mayRead(turn.now()))
            read(turn);
        // Others are asked beside the store if it has answered nothing for a while.
        if (isYoungerThan(turn.now(), scaled(freshAge)))
            break;
    }
    endRound(turn);
}

void ConfigurationProof::endRound(Turn& turn)
{
    m_steps.clear();
    m_answerDueAt.reset();
    m_nextRound = turn.now() + roundInterval(turn.now());
}

Duration ConfigurationProof::roundInterval(Instant now) const
{
    if (!isYoungerThan(now, scaled(freshAge)))
        return retryInterval;
    if (!m_isRelay)
        return scaled(askInterval);
    return scaled(m_rank == 0 ? readInterval : relayInterval);
}

bool ConfigurationProof::ask(Turn& turn, const InstanceId& peer)
{
    const auto* member = m_membership.find(peer);
    if (!member)
        return false;
    m_questions.push_back({ ++m_lastSequence, peer, m_suspendedTime.bootInstant(turn.now()) });
    if (m_questions.size() > keptQuestions)
        m_questions.pop_front();
    m_answerDueAt = turn.now() + answerTimeout;
    turn.emit(SendMessage { member->control, peer, ConfigurationProofRequest { m_lastSequence, m_start } });
    return true;
}

bool ConfigurationProof::mayRead(Instant now) const { return now >= m_readNotBefore && m_pendingReads.size() < maximumPendingReads; }

void ConfigurationProof::read(Turn& turn)
{
    auto tag = turn.callPlatform(ConfirmRoutes { m_readIndex });
    m_pendingReads.push_back({ tag, m_suspendedTime.bootInstant(turn.now()), m_readIndex, m_readVersion });
    m_readNotBefore = turn.now() + scaled(readInterval);
}

void ConfigurationProof::scheduleLastResort(Turn& turn)
{
    if (isYoungerThan(turn.now(), scaled(staleAge))) {
        m_lastResortAt.reset();
        return;
    }
    if (m_lastResortAt)
        return;
    std::uniform_int_distribution<Duration::rep> delay(scaled(shortestDelay).count(), scaled(longestDelay).count());
    m_lastResortAt = turn.now() + Duration(delay(turn.random()));
}

bool ConfigurationProof::handleReply(Turn& turn, const PlatformReply& reply)
{
    auto pending = std::ranges::find(m_pendingReads, reply.tag, &PendingRead::tag);
    if (pending == m_pendingReads.end())
        return false;
    auto read = *pending;
    m_pendingReads.erase(pending);
    if (reply.status != PlatformStatus::Done) {
        m_readNotBefore = std::max(m_readNotBefore, turn.now() + m_readBackoff.next(turn.random()));
        return true;
    }
    m_readBackoff.reset();
    m_readIndex = reply.index;
    m_readVersion.reset();
    if (reply.routes)
        m_readVersion = reply.routes->version;
    else if (reply.problem.empty() && read.index != 0)
        m_readVersion = read.version;
    m_untrustedRead.reset();
    if (m_readVersion)
        m_untrustedRead = RevisionProof { read.sentAt, *m_readVersion, "platform" };
    if (m_readVersion)
        m_eraTrust.noteRead(read.sentAt, *m_readVersion);
    trustRead();
    return true;
}

void ConfigurationProof::trustRead()
{
    if (!m_untrustedRead || !m_eraTrust.isReadTrusted(m_untrustedRead->at, m_untrustedRead->version))
        return;
    m_proofs.add(std::move(*m_untrustedRead));
    m_untrustedRead.reset();
}

void ConfigurationProof::receive(Turn& turn, const Message& message)
{
    if (!isActive())
        return;
    if (const auto* request = std::get_if<ConfigurationProofRequest>(&message.body))
        answer(turn, message, *request);
    else if (const auto* reply = std::get_if<ConfigurationProofReply>(&message.body))
        receiveReply(turn, message, *reply);
}

void ConfigurationProof::answer(Turn& turn, const Message& message, const ConfigurationProofRequest& request) const
{
    auto now = m_suspendedTime.bootInstant(turn.now());
    ConfigurationProofReply reply { request.sequence, request.requesterStart, {}, {}, m_eraTrust.reliableEra(now) };
    if (const auto* latest = m_proofs.latest()) {
        reply.version = latest->version;
        reply.age = now - latest->at + reportMargin;
    }
    turn.emit(SendMessage { message.fromControl, message.from, reply });
}

void ConfigurationProof::receiveReply(Turn& turn, const Message& message, const ConfigurationProofReply& reply)
{
    auto question = std::ranges::find(m_questions, reply.sequence, &Question::sequence);
    if (question == m_questions.end() || question->peer != message.from || reply.requesterStart != m_start)
        return;
    if (m_silentPeer == message.from)
        m_silentPeer = {};
    m_eraTrust.vouch(reply.era);
    trustRead();
    if (reply.age)
        m_proofs.add({ question->sentAt - std::max(Duration(0), *reply.age), reply.version, message.from.value() });
    bool isLatest = question->sequence == m_lastSequence && m_answerDueAt;
    m_questions.erase(question);
    if (!isLatest)
        return;
    m_answerDueAt.reset();
    if (isYoungerThan(turn.now(), scaled(freshAge)))
        endRound(turn);
    else
        takeNextStep(turn);
}

void ConfigurationProof::reportChange(Turn& turn)
{
    bool isProven = !refusal(turn.now());
    if (isProven)
        m_lastSource = proof()->source;
    if (isProven == m_wasProven)
        return;
    m_wasProven = isProven;
    auto known = age(turn.now());
    auto evidence = known ? "the proof is " + inMilliseconds(*known) + " old" : std::string("there is no proof for this version");
    evidence += "; the bound is " + inMilliseconds(m_terms.revocationBound);
    turn.recordDecision({ .kind = isProven ? DecisionKind::ConfigurationProofRegained : DecisionKind::ConfigurationProofLost,
        .step = "prove-configuration",
        .peer = m_lastSource.empty() ? "local" : m_lastSource,
        .revision = m_routes.version(),
        .evidence = std::move(evidence) });
}

}
