#include "DaemonTest.h"

using namespace Testing;

namespace {

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

class OddEntries : public DaemonTest {
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
