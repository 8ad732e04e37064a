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

using namespace Fulmard;

namespace {

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// A whole fulmard on a loop, with a store that holds a valid configuration.
class OddEntries : public testing::Test {
protected:
    void start()
    {
        m_store.put("op/config", R"({"version":7,"routes":[],"services":[]})");
        DaemonOptions options;
        options.settings = PlatformAdapter::readNodeFile("node=node-1\nzone=agadir\nregion=souss-massa\nlisten.inbound=127.0.0.1:1\n"
                                                         "listen.outbound=127.0.0.1:1\nplatform.address=127.0.0.1:1\n",
            "settings");
        options.settings.callers = { "127.0.0.1", 0 };
        options.settings.control = { "127.0.0.1", 0 };
        options.settings.log.level = "error";
        auto store = m_store.endpoint();
        options.platform.openStore = [store](Transport::EventLoop& loop) -> StoreFunction {
            auto opened = std::make_shared<PlatformAdapter::RevisionStore>(loop, store);
            return [opened](Decision::PlatformTag tag, const Decision::PlatformOperation& operation, Platform::PlatformCallback callback) {
                opened->execute(tag, operation, std::move(callback));
            };
        };
        options.platform.readAnnouncement = PlatformAdapter::readInstanceReport;
        options.start = Incarnation(1);
        m_daemon.emplace(m_loop, std::move(options));
        m_daemon->start();
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        auto end = m_loop.now() + 10s;
        while (!condition() && m_loop.now() < end)
            m_loop.runOnce(5ms);
        return condition();
    }

    uint16_t checkIn(const std::string& id, const std::string& body)
    {
        Transport::ClientRequest request;
        request.to = m_daemon->controlEndpoint();
        request.request = { "PUT", "", "/v1/backends/" + id, { { "content-type", "application/json" } }, body };
        request.deadline = 5s;
        std::optional<uint16_t> status;
        m_client.send(std::move(request), [&](const Transport::ClientResult& result) { status = result.response.status; });
        runUntil([&] { return status.has_value(); });
        return status.value_or(0);
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

    Transport::EventLoop m_loop;
    Transport::HttpClient m_client { m_loop };
    StandIns::StandInRevisionStore m_store { m_loop, { "127.0.0.1", 0 } };
    std::optional<Daemon> m_daemon;
};

}

TEST_F(OddEntries, AnOddCheckInNeitherEndsTheProcessNorReplacesAnother)
{
    start();
    ASSERT_EQ(checkIn("i-1", report()), 204);
    const std::vector<std::pair<std::string, std::string>> oddities { { "slots", "1e999" }, { "slots", "99999999999999999999999" }, { "slots", "-1" }, { "slots", "0" },
        { "address", R"("127.0.0.1:99999")" }, { "address", R"("127.0.0.1:-1")" }, { "address", R"("127.0.0.1:0")" }, { "address", "9000" },
        { "sequence", "1e999" }, { "state", R"("asleep")" }, { "state", "{}" }, { "service", nested(100'000) }, { "service", "null" },
        { "born", "1e300" }, { "born", "18446744073709551615" }, { "born", R"("yesterday")" } };
    for (const auto& [name, value] : oddities) {
        EXPECT_EQ(checkIn("i-1", report(name, value)), 400) << name << ' ' << value.substr(0, 30);
        EXPECT_EQ(checkIn("i-2", report(name, value)), 400) << name << ' ' << value.substr(0, 30);
    }
    for (const auto& body : { nested(100'000), std::string(R"({"a":)") + nested(1'000) + "}", std::string("\x00\xff\xfe{", 4), std::string("[]"), std::string() })
        EXPECT_EQ(checkIn("i-1", body), 400);
    EXPECT_EQ(checkIn("i-1", report()), 204);
    EXPECT_EQ(state().registry().backendsOf(ServiceName("desk")).size(), 1u);
}

TEST_F(OddEntries, OddValuesInTheStoreDoNotKeepTheOthersFromBeingRead)
{
    for (const auto* prefix : { "fulmarsail/seeds/", "fulmarsail/profiles/", "fulmarsail/claims/" }) {
        int number = 0;
        for (const auto& value : { nested(100'000), std::string("127.0.0.1:99999"), std::string("1e999"), std::string("{\"revision\":99999999999999999999999}"), std::string("\xff\x00\x01", 3), std::string() })
            m_store.put(prefix + std::to_string(number++), value);
    }
    m_store.put("fulmarsail/seeds/agadir/0", "127.0.0.1:9");
    start();
    EXPECT_TRUE(runUntil([&] { return state().routes().table() != nullptr; }));
    EXPECT_TRUE(runUntil([&] { return state().configuration().isPlatformReachable() && state().membership().counters().messagesSent > 0; })) << "no seed was tried";
    m_store.put("op/config", R"({"version":9,"routes":[],"services":[]})");
    EXPECT_TRUE(runUntil([&] { return state().routes().version() == Revision(9); }));
}

// One odd entry used to keep every later change of the configuration from being taken.
TEST_F(OddEntries, AnOddEntryOfAConfigurationIsReportedAndTheRestIsTaken)
{
    start();
    uint64_t version = 7;
    for (const std::string entries : { R"("routes":[{"name":[]}],"services":[])", R"("routes":[],"services":[{"name":"a","maxConnections":99999999999999999999}])", R"("routes":[],"services":[],"tenants":7)" }) {
        ++version;
        m_store.put("op/config", "{\"version\":" + std::to_string(version) + "," + entries + "}");
        EXPECT_TRUE(runUntil([&] { return state().routes().version() == Revision(version); })) << entries;
        EXPECT_EQ(state().routes().problems().size(), 1u) << entries;
    }
}

TEST_F(OddEntries, AnOddConfigurationKeepsTheOneInForceAndTheNextIsTaken)
{
    start();
    ASSERT_TRUE(runUntil([&] { return state().routes().version() == Revision(7); }));
    for (const auto& value : { nested(100'000), std::string(R"({"version":1e999,"routes":[],"services":[]})"), std::string(R"({"version":8,"routes":{},"services":[]})"), std::string(R"({"version":8,"routes":[],"services":5})") }) {
        m_store.put("op/config", value);
        auto until = m_loop.now() + 150ms;
        runUntil([&] { return m_loop.now() >= until; });
        EXPECT_EQ(state().routes().version(), Revision(7));
    }
    m_store.put("op/config", R"({"version":9,"routes":[],"services":[]})");
    EXPECT_TRUE(runUntil([&] { return state().routes().version() == Revision(9); }));
}
