#include <LibModel/Error.h>
#include <platform/InstanceReport.h>
#include <platform/OperatorConfiguration.h>
#include <platform/StoreReply.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Model;
using namespace PlatformAdapter;

static const std::string report = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"agadir","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"sequence":4,"born":1700})";
static const std::string configuration = R"({"version":7,"routes":[{"name":"r1","host":"ficu95.example","prefix":"/pufi791/","routeKind":"unsafe","timeoutMs":1500,"targetLatencyMs":600,"priority":1,"service":"huvo11a","maxAttempts":2},
{"name":"r2","host":"ficu95.example","prefix":"/lohu930/","routeKind":"safe","timeoutMs":1200,"targetLatencyMs":600,"priority":2,"weightedSplit":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"maxAttempts":2}],
"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false},{"name":"wuno96b","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

static std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

TEST(InstanceReport, ReadsAHeartbeat)
{
    auto announcement = readInstanceReport("i-7f", report);
    EXPECT_EQ(announcement.id, BackendId("i-7f"));
    EXPECT_EQ(announcement.incarnation, Incarnation(1700));
    EXPECT_EQ(announcement.sequence, 4u);
    EXPECT_EQ(announcement.phase, BackendPhase::Serving);
    EXPECT_EQ(readInstanceReport("i-7f", replaced(report, "ready", "draining")).phase, BackendPhase::Draining);
}

TEST(InstanceReport, RefusesWhatNamesNoBackendServer)
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> {
             { "\"ready\"", "\"dreaming\"" }, { "\"ready\"", "5" }, { "10.128.0.9:8080", "here" }, { "\"slots\":3", "\"slots\":0" }, { "\"slots\":3", "\"slots\":\"3\"" },
             { "\"sequence\":4", "\"seq\":4" }, { "\"huvo11a\"", "null" }, { "1700", "1.5" }, { "{", "[" } })
        EXPECT_THROW(readInstanceReport("i-7f", replaced(report, from, to)), Error) << to;
}

RC_GTEST_PROP(InstanceReport, NoBytesDoWorseThanARefusal, (const std::string& bytes, uint8_t place))
{
    auto text = report;
    text.insert(place % text.size(), bytes);
    try {
        readInstanceReport("i-7f", text);
    } catch (const Error&) {
        RC_SUCCEED("refused");
    }
}

TEST(OperatorConfiguration, ReadsRoutesServicesAndLimits)
{
    auto table = readOperatorConfiguration(configuration);
    EXPECT_EQ(table.version, Revision(7));
    ASSERT_EQ(table.routes.size(), 2u);
    EXPECT_FALSE(table.routes[0].isIdempotent);
    EXPECT_EQ(table.routes[0].timeout, 1500ms);
    EXPECT_EQ(table.routes[0].targets, (std::vector<RouteTarget> { { ServiceName("huvo11a"), 1 } }));
    EXPECT_TRUE(table.routes[1].isIdempotent);
    EXPECT_EQ(table.routes[1].targets.size(), 2u);
    EXPECT_EQ(table.services[0].maximumConnections, 360u);
    EXPECT_EQ(table.limits.idleTimeout, 15s);
}

TEST(OperatorConfiguration, AnObjectiveBeyondTheTimeoutIsTheOperatorsChoice)
{
    EXPECT_NO_THROW(readOperatorConfiguration(replaced(configuration, "\"targetLatencyMs\":600", "\"targetLatencyMs\":9000")));
}

TEST(OperatorConfiguration, RefusesWhatCannotBeUsed)
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> {
             { "\"version\":7", "\"version\":\"7\"" }, { "unsafe", "perhaps" }, { "\"timeoutMs\":1500,", "" }, { "\"maxAttempts\":2", "\"maxAttempts\":0" },
             { "wuno96b", "other" }, { "[", "" }, { "\"routes\"", "\"ways\"" } })
        EXPECT_THROW(readOperatorConfiguration(replaced(configuration, from, to)), Error) << to;
}

TEST(StoreReply, ReadsItemsAndLeavesOutWhatIsNone)
{
    Transport::HttpResponse response { 200, {}, R"({"items":[{"key":"a","value":"bm9kZS0x","revision":412,"created":412,"lease":77120},{"key":"b","value":"?","revision":1},5],"hasMore":true,"at":530})" };
    auto items = readRange(response);
    ASSERT_TRUE(items.has_value());
    ASSERT_EQ(items->values.size(), 1u);
    EXPECT_EQ(items->values[0].value, "node-1");
    EXPECT_EQ(items->values[0].lease, Decision::PlatformLease("77120"));
    EXPECT_TRUE(items->hasMore);
    EXPECT_EQ(items->index, 530u);
}

TEST(StoreReply, TellsLostHistoryFromAnUnusableAnswer)
{
    EXPECT_TRUE(readWatch({ 410, {}, "" })->isHistoryLost);
    EXPECT_FALSE(readWatch({ 503, {}, "" }).has_value());
    EXPECT_FALSE(readWatch({ 200, {}, "{" }).has_value());
    auto events = readWatch({ 200, {}, R"({"events":[{"key":"a","revision":413,"removed":true}],"at":413})" });
    ASSERT_TRUE(events.has_value());
    EXPECT_TRUE(events->values.empty());
    EXPECT_EQ(events->index, 413u);
}
