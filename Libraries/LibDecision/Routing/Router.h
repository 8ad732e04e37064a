#pragma once

#include <LibDecision/Configuration/ProfileBook.h>
#include <LibDecision/Health/Health.h>
#include <LibDecision/Membership/Membership.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Rendezvous.h>
#include <LibDecision/Routing/CandidateList.h>
#include <LibDecision/Routing/LoadTable.h>
#include <LibDecision/Turn.h>

#include <algorithm>
#include <array>
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
    // Keyed requests prefer one backend server per key, so that a resend finds the kept answer.
    std::optional<IdempotencyKey> key;
    // Backend servers that this call already tried.
    std::vector<BackendId> excluded;
};

struct RouteChoice {
    BackendRecord backend;
    InstanceId sidecar;
    Endpoint sidecarControl;
    // Why it was chosen, for explanations.
    std::string evidence;
    // The sidecar's probability of a fault, as far as this process knows it.
    double faultProbability { 0 };
    // True if every slot seems to be taken.
    bool isFull { false };
};

// What the router asks about processes.
template <typename T>
concept PathView = requires(const T& paths, const InstanceId& instance)
{
    {
        paths.find(instance)
        } -> std::same_as<const MemberRecord*>;
    {
        paths.isReachable(instance)
        } -> std::same_as<bool>;
    {
        paths.self()
        } -> std::same_as<const MemberRecord&>;
};

// Chooses the backend server for each send of a call. In a service whose profile bounds the probability of faults, and
// whose size allows it, all candidates are compared by what sending there would cost: waiting, crowding, the way to
// another zone, the risk of a failure. Otherwise two candidates are drawn at random from the own zone and two from the
// others, and the one that would answer soonest is taken. Only if no draw finds a candidate is the whole service looked
// through.
template <PathView Paths>
class Router {
public:
    Router(const Paths& paths, const BackendRegistry& registry, const Health& health, const ProfileBook& profiles)
        : m_paths(paths)
        , m_registry(registry)
        , m_health(health)
        , m_profiles(profiles)
    {
    }

    // Gives nothing if no backend server may be used; the reason tells why.
    std::optional<RouteChoice> choose(Turn&, const RouteRequest&, Reason&);
    void attemptStarted(Turn&, const BackendId&);
    void attemptFinished(Turn&, const BackendId&, const AttemptReport&);
    // Forgets what it knows of a backend server's earlier incarnation.
    void backendChanged(Turn&, const BackendRecord&);

    // Where the process listens for the fleet; nothing if it isn't known or can't be reached.
    std::optional<Endpoint> controlOf(const InstanceId&) const;

private:
    using Candidates = std::span<const BackendRecord* const>;

    // How far a backend server is from one that work may go to without a second thought.
    enum class Usability {
        Usable,
        // Returning, and only good for idempotent requests.
        Doubtful,
        Tried,
        Warming,
        Ejected,
        Never,
    };

    struct Rated {
        const BackendRecord* record { nullptr };
        Duration cost { 0 };
        bool isOwnZone { false };
    };

    // Candidates that are compared for one request.
    static constexpr size_t mostCompared = 128;

    const CandidateList& candidatesOf(const ServiceName&, Instant now);
    bool isOwnZone(const BackendRecord&) const;
    Usability usability(const BackendRecord&, const Standing&, const RouteRequest&) const;
    Duration cost(const BackendRecord&, const Standing&, Instant now) const;
    Rated draw(Turn&, Candidates, const RouteRequest&, bool isOwnZone);
    Rated drawOne(Turn&, Candidates, const RouteRequest&, const BackendRecord* other);
    Rated chooseByLoad(Turn&, const CandidateList&, const RouteRequest&);
    Rated chooseByComparison(Turn&, const CandidateList&, const RouteRequest&);
    Duration burden(Turn&, const BackendRecord&, const Standing&, const RouteRequest&) const;
    Rated chooseByKey(Turn&, const CandidateList&, const RouteRequest&);
    Rated chooseAmongAll(Turn&, const CandidateList&, const RouteRequest&, Usability worst);
    RouteChoice describe(Turn&, const Rated&, const RouteRequest&) const;

    const Paths& m_paths;
    const BackendRegistry& m_registry;
    const Health& m_health;
    const ProfileBook& m_profiles;
    LoadTable m_loads;
    std::unordered_map<ServiceName, CandidateList> m_candidates;
};

template <PathView Paths>
std::optional<RouteChoice> Router<Paths>::choose(Turn& turn, const RouteRequest& request, Reason& reason)
{
    if (m_registry.backendsOf(request.service).empty()) {
        reason = Reason::NoSuchService;
        return std::nullopt;
    }
    const auto& candidates = candidatesOf(request.service, turn.now());
    const auto& profile = m_profiles.profile(m_registry.profileOf(request.service));
    bool isCompared = profile.health.faultBound < 1 && candidates.all().size() <= mostCompared;
    auto chosen = request.key ? chooseByKey(turn, candidates, request)
        : isCompared          ? chooseByComparison(turn, candidates, request)
                              : chooseByLoad(turn, candidates, request);
    if (!chosen.record)
        chosen = chooseAmongAll(turn, candidates, request, Usability::Ejected);
    if (!chosen.record) {
        reason = Reason::NoBackend;
        return std::nullopt;
    }
    return describe(turn, chosen, request);
}

template <PathView Paths>
std::optional<Endpoint> Router<Paths>::controlOf(const InstanceId& instance) const
{
    auto member = m_paths.find(instance);
    if (!member || !m_paths.isReachable(instance))
        return std::nullopt;
    return member->control;
}

template <PathView Paths>
void Router<Paths>::attemptStarted(Turn&, const BackendId& backend)
{
    auto record = m_registry.find(backend);
    if (record)
        m_loads.started(*record);
}

template <PathView Paths>
void Router<Paths>::attemptFinished(Turn& turn, const BackendId& backend, const AttemptReport& report)
{
    auto record = m_registry.find(backend);
    if (record)
        m_loads.finished(*record, report, turn.now());
}

template <PathView Paths>
void Router<Paths>::backendChanged(Turn&, const BackendRecord& record)
{
    m_loads.changed(record);
    if (m_registry.backendsOf(record.service).empty())
        m_candidates.erase(record.service);
}

template <PathView Paths>
const CandidateList& Router<Paths>::candidatesOf(const ServiceName& service, Instant now)
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
    list.rebuild(own, other, generation, now);
    return list;
}

template <PathView Paths>
bool Router<Paths>::isOwnZone(const BackendRecord& record) const
{
    auto member = m_paths.find(record.sidecar);
    return member && member->zone == m_paths.self().zone;
}

template <PathView Paths>
typename Router<Paths>::Usability Router<Paths>::usability(const BackendRecord& record, const Standing& standing, const RouteRequest& request) const
{
    if (record.phase == BackendPhase::Draining || record.phase == BackendPhase::Gone)
        return Usability::Never;
    if (!m_paths.find(record.sidecar) || !m_paths.isReachable(record.sidecar))
        return Usability::Never;
    if (standing.state == StandingState::Ejected)
        return Usability::Ejected;
    if (record.phase == BackendPhase::Warming)
        return Usability::Warming;
    if (std::ranges::find(request.excluded, record.id) != request.excluded.end())
        return Usability::Tried;
    if (standing.isIdempotentOnly && !request.isIdempotent)
        return Usability::Doubtful;
    return Usability::Usable;
}

template <PathView Paths>
Duration Router<Paths>::cost(const BackendRecord& record, const Standing& standing, Instant now) const
{
    // One that would be ejected but for the floor gets what the others have no room for. A mere suspect keeps its work:
    // without requests it could neither be cleared nor condemned.
    constexpr double suspicionPenalty = 4;
    auto time = std::chrono::duration<double, Duration::period>(m_loads.expectedTime(record, now));
    if (!standing.isLastResort)
        return std::chrono::duration_cast<Duration>(time);
    return std::chrono::duration_cast<Duration>(time * (1 + suspicionPenalty * standing.suspicion));
}

template <PathView Paths>
typename Router<Paths>::Rated Router<Paths>::drawOne(Turn& turn, Candidates candidates, const RouteRequest& request, const BackendRecord* other)
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

template <PathView Paths>
typename Router<Paths>::Rated Router<Paths>::draw(Turn& turn, Candidates candidates, const RouteRequest& request, bool isOwnZone)
{
    if (candidates.empty())
        return {};
    auto first = drawOne(turn, candidates, request, nullptr);
    if (!first.record)
        return {};
    first.isOwnZone = isOwnZone;
    auto second = drawOne(turn, candidates, request, first.record);
    second.isOwnZone = isOwnZone;
    return second.record && second.cost < first.cost ? second : first;
}

template <PathView Paths>
typename Router<Paths>::Rated Router<Paths>::chooseByLoad(Turn& turn, const CandidateList& candidates, const RouteRequest& request)
{
    auto own = draw(turn, candidates.own(), request, true);
    auto other = draw(turn, candidates.other(), request, false);
    if (!own.record || !other.record)
        return own.record ? own : other;
    auto crossing = m_profiles.profile(m_registry.profileOf(request.service)).placement.zoneCrossingCost;
    return other.cost + crossing < own.cost ? other : own;
}

template <PathView Paths>
Duration Router<Paths>::burden(Turn& turn, const BackendRecord& record, const Standing& standing, const RouteRequest& request) const
{
    // What a failure costs, in usual times of a request: one that may repeat is sent again, the other is lost.
    constexpr double costOfRepeating = 1.5;
    constexpr double costOfLosing = 15;
    // Keeps processes that know the same from choosing the same.
    constexpr double scatter = 0.1;
    std::uniform_real_distribution<double> anyShare(0, 1);
    auto usual = std::chrono::duration<double, Duration::period>(m_loads.usualTime(record));
    auto risk = m_loads.faultProbability(record, turn.now()) * (request.isIdempotent ? costOfRepeating : costOfLosing);
    auto warmUp = 1 / std::max(standing.share * std::min(1.0, record.weight), 0.1) - 1;
    auto time = usual * (risk + warmUp + scatter * anyShare(turn.random()));
    auto crossing = isOwnZone(record) ? Duration::zero() : m_profiles.profile(m_registry.profileOf(request.service)).placement.zoneCrossingCost;
    return m_loads.expectedBurden(record, turn.now()) + std::chrono::duration_cast<Duration>(time) + crossing;
}

template <PathView Paths>
typename Router<Paths>::Rated Router<Paths>::chooseByComparison(Turn& turn, const CandidateList& candidates, const RouteRequest& request)
{
    Rated best;
    for (auto record : candidates.all()) {
        auto standing = m_health.standing(record->id, turn.now());
        if (usability(*record, standing, request) != Usability::Usable)
            continue;
        Rated rated { record, burden(turn, *record, standing, request), isOwnZone(*record) };
        if (!best.record || rated.cost < best.cost)
            best = rated;
    }
    return best;
}

template <PathView Paths>
typename Router<Paths>::Rated Router<Paths>::chooseByKey(Turn& turn, const CandidateList& candidates, const RouteRequest& request)
{
    auto queueLength = m_profiles.profile(m_registry.profileOf(request.service)).capacity.queueLength;
    const BackendRecord* best = nullptr;
    uint64_t bestRank = 0;
    for (auto record : candidates.all()) {
        auto standing = m_health.standing(record->id, turn.now());
        if (usability(*record, standing, request) != Usability::Usable)
            continue;
        auto rank = rendezvousWeight(request.key->value(), record->id.value());
        // The low bits thin the keys out to the share, the same way in every process.
        constexpr uint64_t thinningSteps = 1024;
        if (static_cast<double>(rank % thinningSteps) >= standing.share * thinningSteps)
            continue;
        if (m_loads.expectedRequests(*record, turn.now()) >= record->slots + queueLength)
            continue;
        if (!best || rank > bestRank) {
            best = record;
            bestRank = rank;
        }
    }
    return { best, best ? m_loads.expectedTime(*best, turn.now()) : Duration::zero(), best && isOwnZone(*best) };
}

template <PathView Paths>
typename Router<Paths>::Rated Router<Paths>::chooseAmongAll(Turn& turn, const CandidateList& candidates, const RouteRequest& request, Usability worst)
{
    Rated best;
    auto bestUsability = Usability::Never;
    for (auto record : candidates.all()) {
        auto standing = m_health.standing(record->id, turn.now());
        auto usable = usability(*record, standing, request);
        if (usable > worst)
            continue;
        Rated rated { record, cost(*record, standing, turn.now()), isOwnZone(*record) };
        if (best.record && (usable > bestUsability || (usable == bestUsability && rated.cost >= best.cost)))
            continue;
        best = rated;
        bestUsability = usable;
    }
    return best;
}

template <PathView Paths>
RouteChoice Router<Paths>::describe(Turn& turn, const Rated& rated, const RouteRequest& request) const
{
    const auto& record = *rated.record;
    std::ostringstream evidence;
    evidence << (request.key ? "by key" : "by load") << ", expected " << rated.cost.count() << " us with "
             << m_loads.expectedRequests(record, turn.now()) << " requests at " << record.slots << " slots, "
             << (rated.isOwnZone ? "own zone" : "another zone") << ", " << request.excluded.size() << " tried before";
    auto member = m_paths.find(record.sidecar);
    RouteChoice choice { record, record.sidecar, member ? member->control : Endpoint {}, evidence.str() };
    choice.faultProbability = m_loads.faultProbability(record, turn.now());
    choice.isFull = m_loads.expectedRequests(record, turn.now()) + 1 > record.slots;
    return choice;
}

}
