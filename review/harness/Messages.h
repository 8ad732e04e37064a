#pragma once

#include <review/harness/Store.h>

// The operator's configuration, clients' requests and upstreams' answers.
namespace Review {

inline std::string answerOf(const Message& request, const std::string& body)
{
    return response(200, body, "Attempt-Id: " + request.header("attempt-id") + "\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n");
}

struct RouteTerms {
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs { 0 };
    int targetMs { 0 };
};

inline std::string configuration(const std::vector<RouteTerms>& routes, const std::vector<std::string>& services)
{
    Json::Value json;
    json["version"] = 7;
    for (const auto& terms : routes) {
        Json::Value route;
        route["name"] = "r" + terms.prefix.substr(1, terms.prefix.size() - 2);
        route["host"] = "ficu95.example";
        route["prefix"] = terms.prefix;
        route["routeKind"] = terms.kind;
        route["timeoutMs"] = terms.timeoutMs;
        route["targetLatencyMs"] = terms.targetMs;
        route["priority"] = 1;
        route["service"] = terms.service;
        route["maxAttempts"] = 2;
        json["routes"].append(route);
    }
    for (const auto& name : services) {
        Json::Value service;
        service["name"] = name;
        service["healthPath"] = "/health";
        service["maxConnections"] = 360;
        service["protocol"] = "h1";
        service["tls"] = false;
        json["services"].append(service);
    }
    json["limits"]["maxHeaderBytes"] = 16384;
    json["limits"]["maxBodyBytes"] = 67108864;
    json["limits"]["headerTimeoutMs"] = 3000;
    json["limits"]["idleTimeoutMs"] = 15000;
    return formatJson(json);
}

inline std::string requestText(const std::string& method, const std::string& path, const std::string& id, int deadlineMs, const std::string& body = "")
{
    auto length = method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "";
    return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + length + "\r\n" + body;
}

}
