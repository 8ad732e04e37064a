#pragma once

#include "LoadPlan.h"
#include "TenantHistory.h"

#include <LibModel/RouteTable.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Load {

// All API keys begin with it, so that backend servers can tell whether one reached them.
constexpr auto keyMarker = "soak-key-";

// Publishes routes and tenants to the platform's key-value service, adds and removes keys at random while a load runs,
// and keeps the history of who held which key. A configuration that isn't confirmed throws Model::Error on the loop.
class TenantPublisher {
public:
    TenantPublisher(Transport::EventLoop&, Transport::HttpClient&, const LoadPlan&);

    // Publishes the first configuration. Calls back once it is confirmed.
    void start(std::function<void()> onConfirmed);
    // Publishes a new version every now and then from here on.
    void beginChanges();
    void endChanges() { m_isOver = true; }

    // A key for the next request: mostly of a tenant that holds it now, the hot tenant's most often.
    std::string chooseKey();
    const TenantHistory& history() const { return m_history; }
    uint64_t versions() const { return m_table.version.value(); }

private:
    void addRoutes();
    void addKey(size_t tenant, const std::string& key);
    std::string makeKey();
    void scheduleChange();
    void change();
    void publish(std::function<void()> onConfirmed);
    size_t pickIndex(size_t count);

    Transport::EventLoop& m_loop;
    Transport::HttpClient& m_client;
    const LoadPlan& m_plan;
    std::mt19937_64 m_random;
    Model::RouteTable m_table;
    TenantHistory m_history;
    // Keys in force, by the tenant's place in the table.
    std::vector<std::vector<std::string>> m_heldKeys;
    std::vector<std::string> m_removedKeys;
    uint64_t m_lastKey { 0 };
    bool m_isOver { false };
};

}
