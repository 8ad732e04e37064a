#include "TenantPublisher.h"

#include <LibControl/Digest.h>
#include <LibControl/RouteTableCodec.h>
#include <LibDecision/PlatformOperation.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <array>

namespace Load {

namespace {

    struct TenantShape {
        const char* name;
        TenantQuota quota;
        // Of all requests with a key that is held.
        double share;
    };

    // At the default rate the hot tenant sends about five times its quota, and the others stay below theirs.
    constexpr std::array shapes {
        TenantShape { "hot", { 10, 5 }, 0.4 },
        TenantShape { "small", { 5, 5 }, 0.02 },
        TenantShape { "steady", { 100, 50 }, 0.2 },
        TenantShape { "unlimited", {}, 0.38 },
    };

    constexpr size_t keysAtStart = 2;
    constexpr double changesPerSecond = 1.5;
    // Of the removed keys, those that another tenant gets in the same version.
    constexpr double movedShare = 0.25;
    // Keys removed long ago say little; those removed lately are still sent by some callers.
    constexpr size_t removedKeysInUse = 8;

}

TenantPublisher::TenantPublisher(Transport::EventLoop& loop, Transport::HttpClient& client, const LoadPlan& plan)
    : m_loop(loop)
    , m_client(client)
    , m_plan(plan)
    , m_random(plan.seed)
{
    m_history.revocationBound = plan.revocationBound;
    m_history.quotaWindow = plan.quotaWindow;
    addRoutes();
}

void TenantPublisher::addRoutes()
{
    for (const auto& service : m_plan.services) {
        m_table.services.push_back({ ServiceName(service), "/health", 64 });
        auto add = [&](const std::string& path) -> Model::Route& {
            Model::Route route;
            route.name = service + path;
            route.host = service;
            route.pathPrefix = path;
            route.targets = { { ServiceName(service), 1 } };
            route.timeout = m_plan.deadline;
            route.maximumAttempts = 3;
            return m_table.routes.emplace_back(std::move(route));
        };
        add("/lookup/").isIdempotent = true;
        add("/book/");
        add("/upload/").hasLargeBodies = true;
        auto& open = add("/open/");
        open.isIdempotent = true;
        open.isPublic = true;
    }
}

void TenantPublisher::start(std::function<void()> onConfirmed)
{
    for (const auto& shape : shapes) {
        m_table.tenants.push_back({ AccountId(shape.name), {}, 0, shape.quota.requestsPerSecond, shape.quota.burst });
        m_history.quotas[shape.name] = shape.quota;
        m_heldKeys.emplace_back();
        for (size_t count = 0; count < keysAtStart; ++count)
            addKey(m_heldKeys.size() - 1, makeKey());
    }
    publish(std::move(onConfirmed));
}

std::string TenantPublisher::makeKey()
{
    return keyMarker + std::to_string(m_plan.seed) + "-" + std::to_string(++m_lastKey);
}

void TenantPublisher::addKey(size_t tenant, const std::string& key)
{
    m_heldKeys[tenant].push_back(key);
    m_table.tenants[tenant].keyDigests.push_back(Control::sha256(key));
    m_history.holdingsByKey[key].push_back({ shapes[tenant].name, m_loop.now() });
}

size_t TenantPublisher::pickIndex(size_t count)
{
    return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
}

void TenantPublisher::beginChanges()
{
    scheduleChange();
}

void TenantPublisher::scheduleChange()
{
    std::exponential_distribution<double> gap(changesPerSecond);
    auto pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
    m_loop.callAt(m_loop.now() + pause, [this] {
        if (!m_isOver)
            change();
    });
}

// Gives one tenant a new key and takes an older one from it.
void TenantPublisher::change()
{
    auto tenant = pickIndex(m_heldKeys.size());
    auto& held = m_heldKeys[tenant];
    auto index = pickIndex(held.size());
    auto key = held[index];
    held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
    std::erase(m_table.tenants[tenant].keyDigests, Control::sha256(key));
    // Pointers into the list would not outlive a holding that is added later.
    auto holding = m_history.holdingsByKey[key].size() - 1;
    addKey(tenant, makeKey());
    if (std::bernoulli_distribution(movedShare)(m_random))
        addKey((tenant + 1 + pickIndex(m_heldKeys.size() - 1)) % m_heldKeys.size(), key);
    else
        m_removedKeys.push_back(key);
    publish([this, key, holding] {
        m_history.holdingsByKey[key][holding].until = m_loop.now();
        scheduleChange();
    });
}

void TenantPublisher::publish(std::function<void()> onConfirmed)
{
    m_table.version = m_table.version.next();
    Transport::ClientRequest request;
    request.to = *m_plan.platform;
    request.request = { "PUT", "", "/v1/kv/" + std::string(Decision::routesKey), {}, Control::encodeRouteTable(m_table) };
    m_client.send(std::move(request), [this, onConfirmed = std::move(onConfirmed)](const Transport::ClientResult& result) {
        if (result.status != Transport::ClientStatus::Answered || !result.response.body.starts_with("true"))
            throw Model::Error("publish-routes", m_plan.platform->toString(), result.error + result.response.body);
        onConfirmed();
    });
}

std::string TenantPublisher::chooseKey()
{
    std::discrete_distribution<int> choice { m_plan.strangeKeyShare, m_plan.removedKeyShare, 1 - m_plan.strangeKeyShare - m_plan.removedKeyShare };
    auto chosen = choice(m_random);
    if (chosen == 0)
        return keyMarker + std::string("strange");
    if (chosen == 1 && !m_removedKeys.empty())
        return m_removedKeys[m_removedKeys.size() - 1 - pickIndex(std::min(removedKeysInUse, m_removedKeys.size()))];
    std::discrete_distribution<size_t> tenants(shapes.size(), 0, static_cast<double>(shapes.size()),
        [](double position) { return shapes[static_cast<size_t>(position)].share; });
    const auto& held = m_heldKeys[tenants(m_random)];
    return held[pickIndex(held.size())];
}

}
