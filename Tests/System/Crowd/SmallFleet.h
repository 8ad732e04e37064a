#pragma once

#include <Tests/System/Crowd/Crowd.h>
#include <Tests/System/Crowd/SystemProcess.h>

#include <memory>
#include <string>
#include <utility>

namespace CrowdTests {

// Settings of the process under test, below the defaults so that small crowds reach them.
namespace Limit {
    constexpr uint64_t requestBodyBytes = 1'000'001;
    constexpr uint64_t answerBodyBytes = 12'000'000;
    // The account of bytes that the process may hold for others.
    constexpr uint64_t memoryBytes = 32u << 20;
}

struct FleetOptions {
    uint64_t maximumDescriptors { 0 };
    uint64_t requestBodyBytes { Limit::requestBodyBytes };
    uint64_t memoryBytes { Limit::memoryBytes };
};

// One fulmard between a platform and a backend server that are stand-ins, each a process of its own on loopback.
class SmallFleet {
public:
    explicit SmallFleet(const FleetOptions& = {});
    ~SmallFleet();
    SmallFleet(const SmallFleet&) = delete;
    SmallFleet& operator=(const SmallFleet&) = delete;

    SystemProcess& fulmard() { return *m_fulmard; }
    const Endpoint& callers() const { return m_callers; }
    const Endpoint& control() const { return m_control; }

    // Asks for an ordinary request's answer until there is one.
    bool answersOrdinaryRequest() const;
    void announceBackend(const std::string& service, uint16_t port) const;

private:
    std::string writeSettings(const Endpoint& platform, const FleetOptions&) const;
    void startBackend();

    std::string m_directory;
    Endpoint m_callers;
    Endpoint m_control;
    std::unique_ptr<SystemProcess> m_platform;
    std::unique_ptr<SystemProcess> m_fulmard;
    std::unique_ptr<SystemProcess> m_backend;
};

}
