#pragma once

#include <LibDecision/Configuration/ProfileRegistry.h>
#include <LibDecision/Health/FaultFilter.h>
#include <LibDecision/Health/Health.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Rendezvous.h>
#include <LibDecision/Routing/CandidateList.h>
#include <LibDecision/Routing/KnownConditions.h>
#include <LibDecision/Routing/LoadTable.h>
#include <LibDecision/Routing/ZoneCrossing.h>
#include <LibDecision/Turn.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <random>
#include <span>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

namespace Decision {

struct RouteRequest {
    ServiceName service;
    bool isIdempotent { false };
    // Requests with the same key prefer the same backend server, so that a resend finds the stored answer.
    std::optional<IdempotencyKey> key;
    // The answer time that the caller needs; a failure costs a multiple of it.
    Duration latencyObjective { 0 };
    // Longest time that the request may wait for a slot.
    Duration longestWait { Duration::max() };
    // True if the request goes before those that already wait, so that their number doesn't matter.
    bool goesFirst { false };
    // Backend servers that this call has tried already, including those that refused it.
    std::vector<BackendId> excluded;
    // Those whose sidecars refused the call and may accept it later.
    std::vector<BackendId> refusedBy;
};

struct RouteChoice {
    BackendRecord backend;
    InstanceId sidecar;
    Endpoint sidecarControl;
    // Readable reason for the choice, for decision events.
    std::string evidence;
    // True if no backend server that may take the request is probably healthy.
    bool isLastResort { false };
    // True if all slots are probably in use.
    bool isFull { false };
    // The limit on requests a second that this incarnation named, as far as this process was told.
    std::optional<double> knownLimit;
};

// The queries that the router makes about processes.
template <typename T>
concept MembershipView = requires(const T& members, const InstanceId& instance, const ZoneName& zone)
{
    {
        members.find(instance)
        } -> std::same_as<const MemberRecord*>;
    {
        members.isReachable(instance)
        } -> std::same_as<bool>;
    {
        members.self()
        } -> std::same_as<const MemberRecord&>;
    {
        members.roundTripTo(zone)
        } -> std::same_as<std::optional<Duration>>;
};

// A process that forwards an order to a sidecar.
struct Forwarder {
    InstanceId instance;
    Endpoint control;
};

// How requests were placed with regard to availability zones, where ZoneCrossing decides.
struct CrossingCounts {
    // The zone's own backend servers had room enough.
    uint64_t stayed { 0 };
    // Waiting at home would have taken too long.
    uint64_t left { 0 };
    // No healthy backend server of the own zone could take the request.
    uint64_t lacking { 0 };
};

// Chooses the backend server for each attempt of a call. A request with an idempotency key goes to the backend server
// that rendezvous hashing selects. If the service's profile bounds the fault probability and the service has few enough
// backend servers, all of them are compared by cost: waiting time, load, zone crossing and the risk of a failure. One that
// is probably faulty gets a request only to find out whether the fault is over, or if none is probably healthy; the
// request waits if a healthy one only lacks a free slot.
// Otherwise two candidates are drawn at random from the own zone and two from the other zones, and the one with the
// lowest expected time is chosen. If none of these finds a candidate, all backend servers are searched, including
// tried, warming and ejected ones.
template <MembershipView Members>
class Router {
public:
    Router(const Members& members, const BackendRegistry& registry, const Health& health, const ProfileRegistry& profiles)
        : m_members(members)
        , m_registry(registry)
        , m_health(health)
        , m_profiles(profiles)
    {
    }

    // Returns nullopt and sets the reason if no backend server may be used.
    std::optional<RouteChoice> choose(Turn&, const RouteRequest&, Reason&);
    void attemptStarted(Turn&, const BackendId&);
    void attemptFinished(Turn&, const BackendId&, const AttemptReport&);
    // Must be called after the registry added or replaced its record of the backend server; drops load of an earlier
    // incarnation.
    void backendChanged(Turn&, const BackendRecord&);

    // Time until the first of the service's backend servers that name a limit should be offered another request; zero if
    // none names one.
    Duration limitWait(const ServiceName&, Instant now) const;

    // The process's control endpoint; nullopt if the process is unknown or unreachable.
    std::optional<Endpoint> controlOf(const InstanceId&) const;
    // Draws a sidecar of the service other than the given one, if possible in this process's own zone.
    std::optional<Forwarder> drawForwarder(Turn&, const ServiceName&, const InstanceId& sidecar) const;

    const CrossingCounts& crossings() const { return m_crossings; }

private:
    using Candidates = std::span<const BackendRecord* const>;

    // Whether a request may go to a backend server, from best to worst.
    enum class Usability {
        Usable,
        // It returns from an ejection and takes idempotent requests only, and the request isn't idempotent.
        IdempotentOnly,
        Tried,
        Warming,
        Ejected,
        Unusable,
    };

    struct RatedCandidate {
        const BackendRecord* record { nullptr };
        Duration cost { 0 };
        bool isOwnZone { false };
        bool isLastResort { false };
    };

    // The best backend servers that a comparison found; those that it didn't find have no record.
    struct Comparison {
        RatedCandidate home;
        RatedCandidate away;
        // The best of some that were drawn at random from the other zones.
        RatedCandidate drawnAway;
        RatedCandidate faulty;
        // Gets the request whatever the others cost, to find out whether its fault is over.
        RatedCandidate trial;
    };

    // Services with more backend servers than this are sampled instead of compared.
    static constexpr size_t maximumCompared = 128;

    const CandidateList& candidatesOf(const ServiceName&, Instant now);
    bool isOwnZone(const BackendRecord&) const;
    Usability usability(const BackendRecord&, const Standing&, const RouteRequest&) const;
    Duration cost(const BackendRecord&, const Standing&, Instant now) const;
    RatedCandidate drawBestOfTwo(Turn&, Candidates, const RouteRequest&, bool isOwnZone);
    RatedCandidate drawCandidate(Turn&, Candidates, const RouteRequest&, const BackendRecord* other);
    RatedCandidate chooseBySampling(Turn&, const CandidateList&, const RouteRequest&);
    RatedCandidate chooseByComparison(Turn&, const CandidateList&, const RouteRequest&);
    // Those of the drawn backend servers that may be chosen compete for Comparison::drawnAway.
    Comparison compare(Turn&, const CandidateList&, const RouteRequest&, Candidates drawn) const;
    // Whether ZoneCrossing decides, rather than the fixed cost of crossing.
    bool weighsCrossing(const CandidateList&, const RouteRequest&) const;
    // Returns a few backend servers of other zones, drawn at random; nullopt if the fixed cost of crossing decides.
    std::optional<std::vector<const BackendRecord*>> drawAway(Turn&, const CandidateList&, const RouteRequest&) const;
    // How much longer a round trip to the nearest of them takes than one within the own zone; nullopt if it isn't known.
    std::optional<Duration> shortestExtraRoundTrip(const std::vector<const BackendRecord*>& others) const;
    RatedCandidate chooseZone(Turn&, const CandidateList&, const Comparison&, const RouteRequest&);
    bool isProbablyFaulty(const BackendRecord&, const RouteRequest&, Instant now) const;
    // Returns true if the queue of the backend server is too long for the request to be answered in time, or its limit
    // too low.
    bool isQueueTooLong(const BackendRecord&, const RouteRequest&, Instant now) const;
    // Returns the backend servers that are probably healthy and lack only room for the request.
    std::vector<const BackendRecord*> healthyButBusy(const CandidateList&, const RouteRequest&, Instant now) const;
    // Returns true if an idempotent request should find out whether a probable fault is over. The sidecar refuses it if
    // another one just did.
    bool isTrialDue(const BackendRecord&, const RouteRequest&, Instant now) const;
    Duration failureCost(const BackendRecord&, const RouteRequest&, Instant now) const;
    Duration comparisonCost(Turn&, const BackendRecord&, const Standing&, const RouteRequest&) const;
    RatedCandidate chooseByKey(Turn&, const CandidateList&, const RouteRequest&);
    RatedCandidate chooseFromAll(Turn&, const CandidateList&, const RouteRequest&, Usability worst);
    RouteChoice describe(Turn&, const RatedCandidate&, const RouteRequest&) const;

    const Members& m_members;
    const BackendRegistry& m_registry;
    const Health& m_health;
    const ProfileRegistry& m_profiles;
    LoadTable m_loads;
    KnownConditions m_conditions;
    std::unordered_map<ServiceName, CandidateList> m_candidates;
    CrossingCounts m_crossings;
};

template <MembershipView Members>
std::optional<RouteChoice> Router<Members>::choose(Turn& turn, const RouteRequest& request, Reason& reason)
{
    if (m_registry.backendsOf(request.service).empty()) {
        reason = Reason::NoSuchService;
        return std::nullopt;
    }
    const auto& candidates = candidatesOf(request.service, turn.now());
    const auto& profile = m_profiles.profile(m_registry.profileOf(request.service));
    bool isCompared = profile.health.faultBound < 1 && candidates.all().size() <= maximumCompared;
    auto chosen = request.key ? chooseByKey(turn, candidates, request)
        : isCompared          ? chooseByComparison(turn, candidates, request)
                              : chooseBySampling(turn, candidates, request);
    if (isCompared && !request.key && (!chosen.record || chosen.isLastResort)) {
        auto busy = healthyButBusy(candidates, request, turn.now());
        bool isLimited = std::ranges::all_of(busy, [&](const BackendRecord* record) { return m_loads.limitWait(*record, turn.now()) > request.longestWait; });
        if (!busy.empty()) {
            reason = isLimited ? Reason::BackendLimited : Reason::BackendBusy;
            return std::nullopt;
        }
    }
    if (!chosen.record)
        chosen = chooseFromAll(turn, candidates, request, Usability::Ejected);
    if (!chosen.record) {
        reason = Reason::NoBackend;
        return std::nullopt;
    }
    return describe(turn, chosen, request);
}

template <MembershipView Members>
std::optional<Endpoint> Router<Members>::controlOf(const InstanceId& instance) const
{
    auto member = m_members.find(instance);
    if (!member || !m_members.isReachable(instance))
        return std::nullopt;
    return member->control;
}

template <MembershipView Members>
std::optional<Forwarder> Router<Members>::drawForwarder(Turn& turn, const ServiceName& service, const InstanceId& sidecar) const
{
    const auto& self = m_members.self();
    std::vector<Forwarder> near;
    std::vector<Forwarder> far;
    for (const auto* record : m_registry.backendsOf(service)) {
        if (record->sidecar == sidecar || record->sidecar == self.instance)
            continue;
        if (auto control = controlOf(record->sidecar))
            (m_members.find(record->sidecar)->zone == self.zone ? near : far).push_back({ record->sidecar, *control });
    }
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    return candidates[std::uniform_int_distribution<size_t>(0, candidates.size() - 1)(turn.random())];
}

template <MembershipView Members>
Duration Router<Members>::limitWait(const ServiceName& service, Instant now) const
{
    auto shortest = Duration::zero();
    for (const auto* record : m_registry.backendsOf(service)) {
        auto wait = m_loads.limitWait(*record, now);
        if (wait > Duration::zero() && (shortest == Duration::zero() || wait < shortest))
            shortest = wait;
    }
    return shortest;
}

template <MembershipView Members>
void Router<Members>::attemptStarted(Turn& turn, const BackendId& backend)
{
    auto record = m_registry.find(backend);
    if (record)
        m_loads.started(*record, turn.now());
}

template <MembershipView Members>
void Router<Members>::attemptFinished(Turn& turn, const BackendId& backend, const AttemptReport& report)
{
    const auto* condition = report.hasLoad && report.load.condition ? &*report.load.condition : nullptr;
    if (condition)
        m_conditions.learn(backend, *condition, turn.now());
    auto record = m_registry.find(backend);
    if (record && condition)
        m_loads.limited(*record, *condition, report.reason, std::uniform_real_distribution<double>(0, 1)(turn.random()), turn.now());
    if (record)
        m_loads.finished(*record, report, turn.now());
}

template <MembershipView Members>
void Router<Members>::backendChanged(Turn&, const BackendRecord& record)
{
    m_loads.changed(record);
    if (m_registry.backendsOf(record.service).empty())
        m_candidates.erase(record.service);
}

template <MembershipView Members>
const CandidateList& Router<Members>::candidatesOf(const ServiceName& service, Instant now)
{
    auto& list = m_candidates[service];
    auto generation = m_registry.generationOf(service);
    if (list.isFresh(generation, now))
        return list;
    std::vector<const BackendRecord*> own;
    std::vector<const BackendRecord*> other;
    std::ranges::for_each(m_registry.backendsOf(service), [&](const BackendRecord* record) {
        (isOwnZone(*record) ? own : other).push_back(record);
    });
    list.rebuild(own, other, shortestExtraRoundTrip(other), generation, now);
    return list;
}

template <MembershipView Members>
bool Router<Members>::isOwnZone(const BackendRecord& record) const
{
    auto member = m_members.find(record.sidecar);
    return member && member->zone == m_members.self().zone;
}

template <MembershipView Members>
typename Router<Members>::Usability Router<Members>::usability(const BackendRecord& record, const Standing& standing, const RouteRequest& request) const
{
    if (record.phase == BackendPhase::Draining || record.phase == BackendPhase::Gone || m_conditions.isLeaving(record.id, record.incarnation))
        return Usability::Unusable;
    if (!m_members.find(record.sidecar) || !m_members.isReachable(record.sidecar))
        return Usability::Unusable;
    if (standing.state == StandingState::Ejected)
        return Usability::Ejected;
    if (record.phase == BackendPhase::Warming)
        return Usability::Warming;
    if (std::ranges::find(request.excluded, record.id) != request.excluded.end())
        return Usability::Tried;
    if (standing.isIdempotentOnly && !request.isIdempotent)
        return Usability::IdempotentOnly;
    return Usability::Usable;
}

template <MembershipView Members>
Duration Router<Members>::cost(const BackendRecord& record, const Standing& standing, Instant now) const
{
    // A backend server that only the floor or the confirmation delay keeps in use gets what the others have no capacity
    // for. One that is merely suspected keeps its requests: without them it could be neither cleared nor ejected.
    constexpr double suspicionPenalty = 4;
    auto time = std::chrono::duration<double, Duration::period>(m_loads.expectedTime(record, now));
    if (!standing.isLastResort)
        return std::chrono::duration_cast<Duration>(time);
    return std::chrono::duration_cast<Duration>(time * (1 + suspicionPenalty * standing.suspicion));
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::drawCandidate(Turn& turn, Candidates candidates, const RouteRequest& request, const BackendRecord* other)
{
    constexpr int maximumDraws = 6;
    std::uniform_int_distribution<size_t> anyIndex(0, candidates.size() - 1);
    std::uniform_real_distribution<double> anyShare(0, 1);
    for (int remaining = maximumDraws; remaining > 0; --remaining) {
        auto record = candidates[anyIndex(turn.random())];
        if (record == other)
            continue;
        auto standing = m_health.standing(record->id, turn.now());
        if (usability(*record, standing, request) != Usability::Usable)
            continue;
        if (anyShare(turn.random()) >= standing.share * std::min(1.0, record->weight))
            continue;
        return { record, cost(*record, standing, turn.now()), false };
    }
    return {};
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::drawBestOfTwo(Turn& turn, Candidates candidates, const RouteRequest& request, bool isOwnZone)
{
    if (candidates.empty())
        return {};
    auto first = drawCandidate(turn, candidates, request, nullptr);
    if (!first.record)
        return {};
    first.isOwnZone = isOwnZone;
    auto second = drawCandidate(turn, candidates, request, first.record);
    second.isOwnZone = isOwnZone;
    return second.record && second.cost < first.cost ? second : first;
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::chooseBySampling(Turn& turn, const CandidateList& candidates, const RouteRequest& request)
{
    auto own = drawBestOfTwo(turn, candidates.own(), request, true);
    auto other = drawBestOfTwo(turn, candidates.other(), request, false);
    if (!own.record || !other.record)
        return own.record ? own : other;
    auto crossing = m_profiles.profile(m_registry.profileOf(request.service)).placement.zoneCrossingCost;
    return other.cost + crossing < own.cost ? other : own;
}

template <MembershipView Members>
bool Router<Members>::isProbablyFaulty(const BackendRecord& record, const RouteRequest& request, Instant now) const
{
    const auto& health = m_profiles.profile(m_registry.profileOf(request.service)).health;
    return m_loads.faultProbability(record, now) >= health.faultBoundFor(request.isIdempotent);
}

template <MembershipView Members>
std::vector<const BackendRecord*> Router<Members>::healthyButBusy(const CandidateList& candidates, const RouteRequest& request, Instant now) const
{
    std::vector<const BackendRecord*> busy;
    std::ranges::copy_if(candidates.all(), std::back_inserter(busy), [&](const BackendRecord* record) {
        bool hasRefused = std::ranges::find(request.refusedBy, record->id) != request.refusedBy.end();
        if ((!hasRefused && !isQueueTooLong(*record, request, now)) || isProbablyFaulty(*record, request, now))
            return false;
        return usability(*record, m_health.standing(record->id, now), request) <= (hasRefused ? Usability::Tried : Usability::Usable);
    });
    return busy;
}

template <MembershipView Members>
bool Router<Members>::isQueueTooLong(const BackendRecord& record, const RouteRequest& request, Instant now) const
{
    if (m_loads.limitWait(record, now) > request.longestWait)
        return true;
    return !request.goesFirst && m_loads.expectedWait(record, now) > request.longestWait;
}

template <MembershipView Members>
bool Router<Members>::isTrialDue(const BackendRecord& record, const RouteRequest& request, Instant now) const
{
    return request.isIdempotent && m_loads.isTrialDue(record, now);
}

template <MembershipView Members>
Duration Router<Members>::failureCost(const BackendRecord& record, const RouteRequest& request, Instant now) const
{
    // Cost of a failure in multiples of the latency objective. An idempotent request is sent again, which takes time and
    // one of the fleet's few retries; any other is lost.
    constexpr double retryCost = 0.5;
    constexpr double lossCost = 4;
    auto objective = std::chrono::duration<double, Duration::period>(request.latencyObjective);
    auto cost = request.isIdempotent ? retryCost : lossCost;
    return std::chrono::duration_cast<Duration>(objective * cost * m_loads.faultProbability(record, now));
}

template <MembershipView Members>
Duration Router<Members>::comparisonCost(Turn& turn, const BackendRecord& record, const Standing& standing, const RouteRequest& request) const
{
    // Random part of the cost, so that processes with the same information don't all choose the same backend server.
    constexpr double randomShare = 0.1;
    std::uniform_real_distribution<double> anyShare(0, 1);
    auto usual = std::chrono::duration<double, Duration::period>(m_loads.usualServiceTime(record));
    auto warmUp = 1 / std::max(standing.share * std::min(1.0, record.weight), 0.1) - 1;
    auto time = usual * (warmUp + randomShare * anyShare(turn.random()));
    auto crossing = isOwnZone(record) ? Duration::zero() : m_profiles.profile(m_registry.profileOf(request.service)).placement.zoneCrossingCost;
    return m_loads.expectedOverhead(record, turn.now()) + std::chrono::duration_cast<Duration>(time) + failureCost(record, request, turn.now()) + crossing;
}

template <MembershipView Members>
typename Router<Members>::Comparison Router<Members>::compare(Turn& turn, const CandidateList& candidates, const RouteRequest& request, Candidates drawn) const
{
    Comparison found;
    auto improve = [](RatedCandidate& best, const RatedCandidate& rated) {
        if (!best.record || rated.cost < best.cost)
            best = rated;
    };
    for (auto record : candidates.all()) {
        auto standing = m_health.standing(record->id, turn.now());
        if (usability(*record, standing, request) != Usability::Usable || isQueueTooLong(*record, request, turn.now()))
            continue;
        RatedCandidate rated { record, comparisonCost(turn, *record, standing, request), isOwnZone(*record) };
        bool isFaulty = isProbablyFaulty(*record, request, turn.now());
        if (isFaulty && isTrialDue(*record, request, turn.now())) {
            found.trial = rated;
            return found;
        }
        improve(isFaulty ? found.faulty : rated.isOwnZone ? found.home
                                                          : found.away,
            rated);
        if (!isFaulty && std::ranges::find(drawn, record) != drawn.end())
            improve(found.drawnAway, rated);
    }
    return found;
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::chooseByComparison(Turn& turn, const CandidateList& candidates, const RouteRequest& request)
{
    auto drawn = drawAway(turn, candidates, request);
    auto found = compare(turn, candidates, request, drawn ? Candidates(*drawn) : Candidates());
    if (found.trial.record)
        return found.trial;
    if (!found.home.record && !found.away.record) {
        found.faulty.isLastResort = true;
        return found.faulty;
    }
    if (drawn && found.away.record)
        return chooseZone(turn, candidates, found, request);
    bool isAway = !found.home.record || (found.away.record && found.away.cost < found.home.cost);
    return isAway ? found.away : found.home;
}

template <MembershipView Members>
bool Router<Members>::weighsCrossing(const CandidateList& candidates, const RouteRequest& request) const
{
    auto adaptiveFrom = m_profiles.profile(m_registry.profileOf(request.service)).placement.adaptiveCrossingFrom;
    bool isFar = candidates.extraRoundTrip() && *candidates.extraRoundTrip() >= adaptiveFrom;
    return adaptiveFrom > Duration::zero() && isFar && candidates.own().size() >= ZoneCrossing::minimumOwnBackends;
}

template <MembershipView Members>
std::optional<std::vector<const BackendRecord*>> Router<Members>::drawAway(Turn& turn, const CandidateList& candidates, const RouteRequest& request) const
{
    if (!weighsCrossing(candidates, request))
        return std::nullopt;
    std::vector<const BackendRecord*> drawn;
    std::ranges::sample(candidates.other(), std::back_inserter(drawn), ZoneCrossing::awayDraws, turn.random());
    return drawn;
}

template <MembershipView Members>
std::optional<Duration> Router<Members>::shortestExtraRoundTrip(const std::vector<const BackendRecord*>& others) const
{
    auto home = m_members.roundTripTo(m_members.self().zone);
    std::optional<Duration> shortest;
    for (const auto* record : others) {
        auto member = m_members.find(record->sidecar);
        auto away = member ? m_members.roundTripTo(member->zone) : std::nullopt;
        if (home && away && (!shortest || *away - *home < *shortest))
            shortest = *away - *home;
    }
    return shortest;
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::chooseZone(Turn& turn, const CandidateList& candidates, const Comparison& found, const RouteRequest& request)
{
    const auto& away = found.drawnAway.record ? found.drawnAway : found.away;
    if (!found.home.record) {
        ++m_crossings.lacking;
        return away;
    }
    // The fixed cost of crossing is left out: the decision weighs the distance itself.
    auto fixedCost = m_profiles.profile(m_registry.profileOf(request.service)).placement.zoneCrossingCost;
    CrossingTerms terms { found.home.cost, away.cost - fixedCost, *candidates.extraRoundTrip(), request.latencyObjective, m_loads.usualServiceTime(*found.home.record) };
    bool isLeaving = std::uniform_real_distribution<double>(0, 1)(turn.random()) < ZoneCrossing::shareLeaving(terms);
    ++(isLeaving ? m_crossings.left : m_crossings.stayed);
    return isLeaving ? away : found.home;
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::chooseByKey(Turn& turn, const CandidateList& candidates, const RouteRequest& request)
{
    auto queueLength = m_profiles.profile(m_registry.profileOf(request.service)).capacity.queueLength;
    const BackendRecord* best = nullptr;
    uint64_t bestRank = 0;
    for (auto record : candidates.all()) {
        auto standing = m_health.standing(record->id, turn.now());
        if (usability(*record, standing, request) != Usability::Usable)
            continue;
        auto rank = rendezvousWeight(request.key->value(), record->id.value());
        // The low bits select the keys within the backend server's share, the same ones in every process.
        constexpr uint64_t shareSteps = 1024;
        if (static_cast<double>(rank % shareSteps) >= standing.share * shareSteps)
            continue;
        if (m_loads.expectedRequests(*record, turn.now()) >= record->slots + queueLength || m_loads.limitWait(*record, turn.now()) > request.longestWait)
            continue;
        if (!best || rank > bestRank) {
            best = record;
            bestRank = rank;
        }
    }
    return { best, best ? m_loads.expectedTime(*best, turn.now()) : Duration::zero(), best && isOwnZone(*best) };
}

template <MembershipView Members>
typename Router<Members>::RatedCandidate Router<Members>::chooseFromAll(Turn& turn, const CandidateList& candidates, const RouteRequest& request, Usability worst)
{
    RatedCandidate best;
    auto bestUsability = Usability::Unusable;
    for (auto record : candidates.all()) {
        auto standing = m_health.standing(record->id, turn.now());
        auto current = usability(*record, standing, request);
        if (current > worst)
            continue;
        RatedCandidate rated { record, cost(*record, standing, turn.now()), isOwnZone(*record) };
        if (best.record && (current > bestUsability || (current == bestUsability && rated.cost >= best.cost)))
            continue;
        best = rated;
        bestUsability = current;
    }
    return best;
}

template <MembershipView Members>
RouteChoice Router<Members>::describe(Turn& turn, const RatedCandidate& rated, const RouteRequest& request) const
{
    const auto& record = *rated.record;
    std::ostringstream evidence;
    evidence << (request.key ? "by key" : "by load") << ", expected " << rated.cost.count() << " us with "
             << m_loads.expectedRequests(record, turn.now()) << " requests on " << record.slots << " slots, "
             << (rated.isOwnZone ? "same zone" : "other zone") << ", faulty with probability " << m_loads.faultProbability(record, turn.now()) << ", " << request.excluded.size() << " backend servers tried before";
    auto member = m_members.find(record.sidecar);
    RouteChoice choice { record, record.sidecar, member ? member->control : Endpoint {}, evidence.str() };
    choice.isLastResort = rated.isLastResort;
    choice.knownLimit = m_conditions.limitOf(record.id, record.incarnation);
    choice.isFull = m_loads.expectedRequests(record, turn.now()) + 1 > record.slots;
    return choice;
}

}
