#include <Services/fulmard/OperatorApi.h>

#include <LibControl/ControlError.h>
#include <LibControl/JsonText.h>
#include <LibControl/RouteTableCodec.h>
#include <LibDecision/NodeState.h>
#include <Services/fulmard/QueryString.h>

#include <algorithm>

namespace Fulmard {

using namespace Model;

namespace {

    constexpr std::string_view drainPath = "/v1/drain/";
    constexpr size_t mostExplanations = 1000;
    constexpr size_t mostRouteProblems = 100;

    Transport::HttpResponse jsonResponse(uint16_t status, const Json::Value& body)
    {
        return { status, { { "content-type", "application/json" } }, Control::formatJson(body) + "\n" };
    }

    Transport::HttpResponse errorResponse(uint16_t status, const std::string& text)
    {
        Json::Value body;
        body["error"] = text;
        return jsonResponse(status, body);
    }

    Json::UInt64 toJson(uint64_t number) { return static_cast<Json::UInt64>(number); }

}

OperatorApi::OperatorApi(const std::string& operatorKey, uint64_t memoryBytes, NodeDriver& driver, const Telemetry::Journal& journal, std::function<Instant()> now)
    : m_gate(operatorKey)
    , m_memoryBytes(memoryBytes)
    , m_driver(driver)
    , m_journal(journal)
    , m_now(std::move(now))
{
}

Transport::HttpResponse OperatorApi::handle(const Transport::HttpRequest& request, uint64_t unixSeconds)
{
    try {
        auto header = Transport::findHeader(request.headers, "fulmar-operator").value_or("");
        m_gate.check({ request.method, request.target, request.body }, header, unixSeconds);
    } catch (const Control::ControlError& error) {
        return errorResponse(401, error.what());
    }
    return route(request);
}

Transport::HttpResponse OperatorApi::route(const Transport::HttpRequest& request)
{
    QueryString target(request.target);
    bool isGet = request.method == "GET";
    if (isGet && target.path() == "/v1/status")
        return jsonResponse(200, status(ServiceName(target.value("service"))));
    if (isGet && target.path() == "/v1/summary")
        return jsonResponse(200, summary());
    if (isGet && target.path() == "/v1/profiles")
        return jsonResponse(200, profiles(true));
    if (isGet && target.path() == "/v1/routes")
        return routes();
    if (isGet && target.path() == "/v1/explain") {
        auto limit = std::min(mostExplanations, static_cast<size_t>(target.number("limit").value_or(100)));
        return jsonResponse(200, explain({ BackendId(target.value("backend")), ServiceName(target.value("service")), RequestId(target.value("request")), limit }));
    }
    if (request.method == "POST" && target.path().starts_with(drainPath))
        return drain(target.path().substr(drainPath.size()));
    return errorResponse(404, "no such call: " + request.method + " " + target.path());
}

Json::Value OperatorApi::self() const
{
    const auto& record = state().membership().self();
    Json::Value json;
    json["instance"] = record.instance.value();
    json["incarnation"] = toJson(record.incarnation.value());
    json["zone"] = record.zone.value();
    json["region"] = record.region.value();
    json["isLeaving"] = state().isLeaving();
    json["platformReachable"] = state().configuration().isPlatformReachable();
    json["isWatcher"] = state().configuration().isWatcher();
    json["callsInFlight"] = toJson(state().calls().inFlight());
    json["runsInFlight"] = toJson(state().admission().inFlight());
    json["routesVersion"] = toJson(state().routes().version().value());
    json["routeProblems"] = routeProblems();
    return json;
}

Json::Value OperatorApi::routeProblems() const
{
    Json::Value list(Json::arrayValue);
    const auto& problems = state().routes().problems();
    std::for_each_n(problems.begin(), std::min(problems.size(), mostRouteProblems), [&](const std::string& problem) { list.append(problem); });
    return list;
}

Json::Value OperatorApi::members() const
{
    Json::Value list(Json::arrayValue);
    for (const auto* record : state().membership().allMembers()) {
        Json::Value json;
        json["instance"] = record->instance.value();
        json["incarnation"] = toJson(record->incarnation.value());
        json["zone"] = record->zone.value();
        json["region"] = record->region.value();
        json["control"] = record->control.toString();
        json["callers"] = record->callers.toString();
        json["state"] = std::string(nameOf(record->state));
        json["isReachable"] = state().membership().isReachable(record->instance);
        list.append(std::move(json));
    }
    return list;
}

Json::Value OperatorApi::backendStatus(const Decision::BackendRecord& record) const
{
    auto standing = state().health().standing(record.id, m_now());
    Json::Value json;
    json["backend"] = record.id.value();
    json["sidecar"] = record.sidecar.value();
    json["incarnation"] = toJson(record.incarnation.value());
    json["phase"] = std::string(nameOf(record.phase));
    json["slots"] = record.slots;
    json["weight"] = record.weight;
    json["standing"] = std::string(nameOf(standing.state));
    json["share"] = standing.share;
    json["isIdempotentOnly"] = standing.isIdempotentOnly;
    json["evidence"] = standing.evidence;
    json["isReachable"] = state().membership().isReachable(record.sidecar);
    return json;
}

Json::Value OperatorApi::serviceStatus(const ServiceName& service) const
{
    auto profile = state().registry().profileOf(service);
    Json::Value json;
    json["service"] = service.value();
    json["profile"] = profile.value();
    json["revision"] = toJson(state().profiles().revision(profile).value());
    json["backends"] = Json::Value(Json::arrayValue);
    for (const auto* record : state().registry().backendsOf(service))
        json["backends"].append(backendStatus(*record));
    return json;
}

Json::Value OperatorApi::profiles(bool withDocuments) const
{
    Json::Value list(Json::arrayValue);
    for (const auto* inForce : state().profiles().all()) {
        Json::Value json;
        json["name"] = inForce->revision.name.value();
        json["revision"] = toJson(inForce->revision.revision.value());
        json["publishId"] = inForce->revision.publishId.value();
        json["author"] = inForce->revision.author;
        if (withDocuments)
            json["document"] = inForce->revision.document;
        list.append(std::move(json));
    }
    return list;
}

Json::Value OperatorApi::status(const ServiceName& service) const
{
    Json::Value json;
    json["self"] = self();
    json["members"] = members();
    json["profiles"] = profiles(false);
    json["services"] = Json::Value(Json::arrayValue);
    for (const auto& known : state().registry().services()) {
        if (service.isEmpty() || service == known)
            json["services"].append(serviceStatus(known));
    }
    return json;
}

Json::Value OperatorApi::summary() const
{
    Json::Value json;
    json["self"] = self();
    json["profiles"] = profiles(false);
    json["membersAlive"] = toJson(state().membership().liveMembers().size());
    json["backends"] = toJson(state().registry().size());
    json["backendsEjected"] = toJson(countEjected());
    return json;
}

Json::Value OperatorApi::explain(const Telemetry::JournalQuery& query) const
{
    Json::Value json;
    json["self"] = self();
    json["decisions"] = Json::Value(Json::arrayValue);
    for (const auto& entry : m_journal.find(query)) {
        const auto& event = entry.event;
        Json::Value decision;
        decision["number"] = toJson(entry.number);
        decision["millisecondsAgo"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(m_now() - entry.at).count());
        decision["kind"] = std::string(nameOf(event.kind));
        decision["step"] = event.step;
        decision["peer"] = event.peer;
        decision["service"] = event.service.value();
        decision["backend"] = event.backend.value();
        decision["request"] = event.request.value();
        decision["profile"] = event.profile.value();
        decision["revision"] = toJson(event.revision.value());
        decision["evidence"] = event.evidence;
        json["decisions"].append(std::move(decision));
    }
    return json;
}

// Joins texts, because a table of the largest size would take several times its memory as a Json::Value.
Transport::HttpResponse OperatorApi::routes() const
{
    const auto* table = state().routes().table();
    auto body = R"({"memoryBytes":)" + std::to_string(m_memoryBytes) + R"(,"table":)" + (table ? Control::encodeRouteTable(*table) : "null") + "}\n";
    return { 200, { { "content-type", "application/json" } }, std::move(body) };
}

Transport::HttpResponse OperatorApi::drain(const std::string& backend)
{
    if (!state().localBackends().find(BackendId(backend)))
        return errorResponse(404, "backend server " + backend + " hasn't announced itself to this process");
    m_driver.handle(Decision::DrainRequested { BackendId(backend) });
    return jsonResponse(202, backendStatus(*state().registry().find(BackendId(backend))));
}

size_t OperatorApi::countEjected() const
{
    size_t ejected = 0;
    for (const auto& service : state().registry().services()) {
        ejected += std::ranges::count_if(state().registry().backendsOf(service), [&](const Decision::BackendRecord* record) {
            return state().health().standing(record->id, m_now()).state == Decision::StandingState::Ejected;
        });
    }
    return ejected;
}

}
