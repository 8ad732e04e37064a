#pragma once

#include <LibControl/OperatorSignature.h>
#include <LibTelemetry/Journal.h>
#include <LibTransport/HttpMessage.h>
#include <Services/fulmard/NodeDriver.h>

#include <functional>
#include <json/value.h>

namespace Fulmard {

// Answers operators' calls to this process, in JSON:
//
// - GET /v1/status[?service=NAME]: members, services with their backend servers, profiles, platform
// - GET /v1/summary: the same in counts, for large fleets
// - GET /v1/explain?backend=ID|service=NAME|request=ID[&limit=N]: decisions from the journal
// - GET /v1/profiles: the profile revisions in force with their documents
// - GET /v1/routes: the route table in force, or null, and the bytes that the process holds for requests and answers
// - POST /v1/drain/ID: begins the drain of a backend server of this process
//
// Every call needs the header `fulmar-operator`; see LibControl/OperatorSignature.h.
class OperatorApi {
public:
    OperatorApi(const std::string& operatorKey, uint64_t memoryBytes, NodeDriver&, const Telemetry::Journal&, std::function<Model::Instant()> now);

    Transport::HttpResponse handle(const Transport::HttpRequest&, uint64_t unixSeconds);

    // Backend servers that this process ejects now.
    size_t countEjected() const;

private:
    Transport::HttpResponse route(const Transport::HttpRequest&);
    Json::Value status(const Model::ServiceName&) const;
    Json::Value summary() const;
    Json::Value self() const;
    Json::Value routeProblems() const;
    Json::Value members() const;
    Json::Value serviceStatus(const Model::ServiceName&) const;
    Json::Value backendStatus(const Decision::BackendRecord&) const;
    Json::Value profiles(bool withDocuments) const;
    Json::Value explain(const Telemetry::JournalQuery&) const;
    Transport::HttpResponse routes() const;
    Transport::HttpResponse drain(const std::string& backend);

    const Decision::NodeState& state() const { return m_driver.node().state(); }

    Control::OperatorGate m_gate;
    uint64_t m_memoryBytes;
    NodeDriver& m_driver;
    const Telemetry::Journal& m_journal;
    std::function<Model::Instant()> m_now;
};

}
