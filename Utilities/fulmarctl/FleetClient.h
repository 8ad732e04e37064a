#pragma once

#include <LibControl/OperatorSignature.h>
#include <LibDecision/PlatformOperation.h>
#include <LibModel/Endpoint.h>
#include <LibModel/OperatorSettings.h>
#include <LibPlatform/ConsulStore.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>

#include <json/value.h>
#include <random>
#include <string>
#include <vector>

namespace FulmarCtl {

using namespace Model;

// What one process answered to an operator's call.
struct NodeAnswer {
    Endpoint node;
    // Null if it didn't answer.
    Json::Value body;
    // What went wrong; empty if it answered.
    std::string error;
};

// Calls processes and the platform, and waits for their answers.
class FleetClient {
public:
    explicit FleetClient(OperatorSettings);

    // Calls one process. Throws Model::Error with the peer if it doesn't answer or refuses.
    Json::Value call(const Endpoint& node, const std::string& method, const std::string& target);
    // Calls all at once; each has an answer, in the order of the nodes.
    std::vector<NodeAnswer> callAll(const std::vector<Endpoint>& nodes, const std::string& target);

    // Gives the control endpoints of all live members, as the first process that answers knows them. Throws
    // Model::Error if none answers.
    std::vector<Endpoint> findNodes();

    Decision::PlatformReply execute(const Decision::PlatformOperation&);

    // Lets the time pass.
    void sleep(Duration);

    const OperatorSettings& settings() const { return m_settings; }

private:
    Transport::ClientRequest makeRequest(const Endpoint&, const std::string& method, const std::string& target);

    OperatorSettings m_settings;
    Control::Signer m_signer;
    std::mt19937_64 m_random;
    Transport::EventLoop m_loop;
    Transport::HttpClient m_client;
    Platform::ConsulStore m_store;
    Decision::PlatformTag m_lastTag;
};

}
