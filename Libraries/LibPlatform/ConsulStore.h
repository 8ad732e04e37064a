#pragma once

#include <LibPlatform/PlatformStore.h>
#include <LibTransport/HttpClient.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Platform {

struct ConsulStoreSettings {
    // At least one; the next is tried when one fails.
    std::vector<Endpoint> endpoints;
    // For one try of an operation, beyond the wait of a watch.
    Duration timeout { std::chrono::seconds(3) };
    uint32_t maximumConnections { 16 };
};

struct ConsulStoreCounters {
    uint64_t operations { 0 };
    // Tries at a further endpoint after one failed.
    uint64_t failovers { 0 };
    uint64_t refusals { 0 };
    uint64_t withoutAnswer { 0 };
};

// Speaks to the platform's key-value service in Consul's HTTP API.
class ConsulStore {
public:
    // Throws Error if there is no endpoint.
    ConsulStore(Transport::EventLoop&, ConsulStoreSettings);
    ~ConsulStore();
    ConsulStore(const ConsulStore&) = delete;
    ConsulStore& operator=(const ConsulStore&) = delete;

    // Reads move on to the next endpoint until each has been tried. So does a write as long as none of it was
    // sent; after that, a failure means NoAnswer.
    void execute(PlatformTag, const PlatformOperation&, PlatformCallback);

    const ConsulStoreCounters& counters() const { return m_counters; }
    // What went wrong last, with the endpoint; empty if nothing did.
    const std::string& lastError() const { return m_lastError; }

private:
    struct Call {
        PlatformTag tag;
        PlatformOperation operation;
        PlatformCallback callback;
        size_t tries { 0 };
    };

    void attempt(Call);
    void answered(Call, const Endpoint&, const Transport::ClientResult&);
    void finish(Call, PlatformReply);

    ConsulStoreSettings m_settings;
    Transport::HttpClient m_client;
    ConsulStoreCounters m_counters;
    std::string m_lastError;
    // The endpoint that answered last.
    size_t m_current { 0 };
};

static_assert(PlatformStore<ConsulStore>);

}
