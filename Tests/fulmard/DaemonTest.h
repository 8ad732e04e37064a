#pragma once

#include <LibDecision/NodeState.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <Services/fulmard/Daemon.h>
#include <Tests/StandIns/StandInRevisionStore.h>
#include <platform/InstanceReport.h>
#include <platform/NodeFile.h>
#include <platform/RevisionStore.h>

#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <vector>

namespace Testing {

using namespace Fulmard;

// A whole fulmard on a loop, with a store that holds a valid configuration.
class DaemonTest : public testing::Test {
protected:
    void start(const std::string& configuration = R"({"version":7,"routes":[],"services":[]})")
    {
        m_store.put("op/config", configuration);
        startDaemon(m_daemon, "node-1", {});
    }

    void startDaemon(std::optional<Daemon>& daemon, const std::string& instance, const std::vector<Endpoint>& peers)
    {
        DaemonOptions options;
        options.settings = PlatformAdapter::readNodeFile("node=node-1\nzone=agadir\nregion=souss-massa\nlisten.inbound=127.0.0.1:1\n"
                                                         "listen.outbound=127.0.0.1:1\nplatform.address=127.0.0.1:1\n",
            "settings");
        options.settings.instance = InstanceId(instance);
        options.settings.peers = peers;
        options.settings.callers = { "127.0.0.1", 0 };
        options.settings.control = { "127.0.0.1", 0 };
        options.settings.announcements = announcements;
        options.settings.limits.memoryBytes = memoryBytes;
        options.settings.log.level = logLevel;
        options.settings.trace.sampledShare = 1;
        auto record = [this](const std::string& line) { output += line + "\n"; };
        options.observability.logSink = record;
        options.observability.traceSink = record;
        auto store = m_store.endpoint();
        options.platform.openStore = [store](Transport::EventLoop& loop) -> StoreFunction {
            auto opened = std::make_shared<PlatformAdapter::RevisionStore>(loop, store);
            return [opened](Decision::PlatformTag tag, const Decision::PlatformOperation& operation, Platform::PlatformCallback callback) {
                opened->execute(tag, operation, std::move(callback));
            };
        };
        options.platform.readAnnouncement = PlatformAdapter::readInstanceReport;
        options.start = Incarnation(1);
        daemon.emplace(m_loop, std::move(options));
        daemon->start();
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        auto end = m_loop.now() + 10s;
        while (!condition() && m_loop.now() < end)
            m_loop.runOnce(5ms);
        return condition();
    }

    // Gives status 0 without an answer.
    Transport::HttpResponse exchange(const Endpoint& to, Transport::HttpRequest message)
    {
        Transport::ClientRequest request;
        request.to = to;
        request.request = std::move(message);
        request.deadline = 5s;
        std::optional<Transport::HttpResponse> response;
        m_client.send(std::move(request), [&](const Transport::ClientResult& result) { response = result.response; });
        runUntil([&] { return response.has_value(); });
        return response.value_or(Transport::HttpResponse { 0, {}, "" });
    }

    uint16_t checkIn(const std::string& id, const std::string& body)
    {
        return exchange(m_daemon->controlEndpoint(), { "PUT", "", "/v1/backends/" + id, { { "content-type", "application/json" } }, body }).status;
    }

    static std::string report(const std::string& name = "", const std::string& value = "")
    {
        std::vector<std::pair<std::string, std::string>> fields { { "service", R"("desk")" }, { "address", R"("127.0.0.1:9000")" }, { "zone", R"("agadir")" },
            { "slots", "3" }, { "state", R"("ready")" }, { "sequence", "4" }, { "born", "1772886145750" } };
        std::string text = "{";
        for (const auto& [field, usual] : fields)
            text += "\"" + field + "\":" + (field == name ? value : usual) + ",";
        return text + R"("extra":null})";
    }

    const Decision::NodeState& state() { return m_daemon->node().state(); }

    std::string logLevel { "error" };
    std::optional<Endpoint> announcements;
    uint64_t memoryBytes { 0 };
    // What the process logged and traced.
    std::string output;
    Transport::EventLoop m_loop;
    Transport::HttpClient m_client { m_loop };
    StandIns::StandInRevisionStore m_store { m_loop, { "127.0.0.1", 0 } };
    std::optional<Daemon> m_daemon;
};

}
