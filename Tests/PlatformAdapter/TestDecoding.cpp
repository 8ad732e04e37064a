#include <LibModel/Error.h>
#include <platform/InstanceReport.h>
#include <platform/OperatorConfiguration.h>
#include <platform/StoreEra.h>
#include <platform/StoreReply.h>
#include <platform/StoreRequest.h>

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
             { "\"version\":7", "\"version\":\"7\"" }, { "[", "" }, { "\"routes\"", "\"ways\"" }, { "\"services\"", "\"servers\"" } })
        EXPECT_THROW(readOperatorConfiguration(replaced(configuration, from, to)), Error) << to;
}

// One malformed route used to cost the whole configuration. Its requests must be refused as not run, not as unknown.
TEST(OperatorConfiguration, AMalformedRouteKeepsItsPlaceAndTheOthersStayInForce)
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> {
             { "unsafe", "perhaps" }, { "\"unsafe\"", "[]" }, { "\"timeoutMs\":1500,", "" }, { "\"timeoutMs\":1500", "\"timeoutMs\":0" }, { "\"timeoutMs\":1500", "\"timeoutMs\":1e300" },
             { "\"maxAttempts\":2", "\"maxAttempts\":0" }, { "\"name\":\"r1\"", "\"name\":1" }, { "\"service\":\"huvo11a\"", "\"service\":\"other\"" }, { "\"priority\":1", "\"public\":\"yes\"" } }) {
        auto table = readOperatorConfiguration(replaced(configuration, from, to));
        ASSERT_EQ(table.routes.size(), 2u) << to;
        EXPECT_FALSE(table.routes[0].isUsable()) << to;
        EXPECT_EQ(table.routes[0].pathPrefix, "/pufi791/");
        EXPECT_TRUE(table.routes[1].isUsable()) << to;
        EXPECT_EQ(problemsOf(table).size(), 1u);
    }
}

TEST(OperatorConfiguration, WhatHasNoPlaceIsLeftOutWithAMessage)
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> {
             { "\"host\":\"ficu95.example\",", "" }, { "\"/pufi791/\"", "\"pufi\"" }, { "/pufi791/", "/lohu930/" }, { "{\"name\":\"r1\"", "5,{\"name\":\"r1\"" },
             { "\"maxBodyBytes\":67108864", "\"maxBodyBytes\":-1" } }) {
        auto table = readOperatorConfiguration(replaced(configuration, from, to));
        EXPECT_EQ(table.omissions.size(), 1u) << to;
        EXPECT_EQ(table.limits.idleTimeout, 15s);
    }
    auto withoutService = readOperatorConfiguration(replaced(configuration, "{\"name\":\"wuno96b\"", "{\"name\":7"));
    EXPECT_TRUE(withoutService.routes[0].isUsable());
    EXPECT_FALSE(withoutService.routes[1].isUsable());
}

static RouteTable withTenants(const std::string& tenants)
{
    return readOperatorConfiguration(replaced(configuration, "\"limits\"", "\"tenants\":" + tenants + ",\"limits\""));
}

TEST(OperatorConfiguration, ReadsTenantsPublicRoutesAndUploads)
{
    auto text = replaced(replaced(configuration, "\"unsafe\"", "\"upload\",\"public\":true"), "\"limits\"",
        R"("tenants":[{"name":"north","apiKeys":["abc"],"priority":1,"ratePerS":2.5,"burst":7,"new":1},{"name":"south","apiKeys":[]}],"limits")");
    auto table = readOperatorConfiguration(text);
    EXPECT_TRUE(table.routes[0].isPublic && table.routes[0].hasLargeBodies && !table.routes[0].isIdempotent);
    EXPECT_FALSE(table.routes[1].isPublic || table.routes[1].hasLargeBodies);
    ASSERT_EQ(table.tenants.size(), 2u);
    // SHA-256 of "abc" as in FIPS 180-2.
    EXPECT_EQ(table.tenants[0], (Tenant { AccountId("north"), { "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" }, 1, 2.5, 7 }));
    EXPECT_EQ(table.tenants[1], (Tenant { AccountId("south") }));
    EXPECT_TRUE(problemsOf(table).empty());
    EXPECT_TRUE(withTenants("[]").tenants.empty());
    EXPECT_TRUE(withTenants("null").tenants.empty());
}

// 401 for a tenant whose entry is malformed would tell its callers that their key was revoked.
TEST(OperatorConfiguration, AMalformedTenantKeepsItsKeysAndTheOthersStayInForce)
{
    const std::string good = R"({"name":"south","apiKeys":["k2"]})";
    for (const std::string bad : { R"({"name":"","apiKeys":["k1"]})", R"({"apiKeys":["k1"]})", R"({"name":"a\r\nb","apiKeys":["k1"]})", R"({"name":"n","apiKeys":["k1"],"ratePerS":-1})",
             R"({"name":"n","apiKeys":["k1"],"burst":"5"})", R"({"name":"n","apiKeys":["k1"],"priority":-1})", R"({"name":"south","apiKeys":["k1"]})" }) {
        auto table = withTenants("[" + good + "," + bad + "]");
        ASSERT_EQ(table.tenants.size(), 2u);
        EXPECT_TRUE(table.tenants[0].isUsable());
        EXPECT_FALSE(table.tenants[1].isUsable()) << bad;
        EXPECT_EQ(table.tenants[1].keyDigests.size(), 1u);
        EXPECT_FALSE(table.tenants[1].hasUnreadKeys);
    }
    for (const std::string bad : { "5", R"({"name":"n","apiKeys":"k1"})", R"({"name":"n","apiKeys":["k1",5]})", R"({"name":"n","apiKeys":[""]})" })
        EXPECT_TRUE(withTenants("[" + good + "," + bad + "]").tenants[1].hasUnreadKeys) << bad;
    EXPECT_TRUE(withTenants("{}").tenants[0].hasUnreadKeys);
}

// A key of two tenants must neither run on account of the wrong one nor cost both their other keys.
TEST(OperatorConfiguration, AKeyOfTwoTenantsBelongsToNeither)
{
    auto table = withTenants(R"([{"name":"north","apiKeys":["k1","both","k1"]},{"name":"south","apiKeys":["both","k2"]}])");
    ASSERT_EQ(table.tenants.size(), 3u);
    EXPECT_EQ(table.tenants[0].keyDigests.size(), 1u);
    EXPECT_TRUE(table.tenants[0].isUsable() && table.tenants[1].isUsable());
    EXPECT_EQ(table.tenants[1].keyDigests.size(), 1u);
    EXPECT_FALSE(table.tenants[2].isUsable());
    EXPECT_EQ(table.tenants[2].keyDigests.size(), 1u);
    for (const auto& problem : problemsOf(table))
        EXPECT_EQ(problem.find("both"), std::string::npos) << "a key in a message";
}

// The JSON parser's own messages quote the text.
TEST(OperatorConfiguration, NoErrorQuotesAKey)
{
    try {
        withTenants(R"([{"name":"north","apiKeys":[secret0815]}])");
        ADD_FAILURE();
    } catch (const Error& error) {
        EXPECT_EQ(std::string(error.what()).find("secret0815"), std::string::npos);
    }
}

RC_GTEST_PROP(OperatorConfiguration, NoBytesDoWorseThanARefusal, (const std::string& bytes, uint16_t place))
{
    auto text = replaced(configuration, "\"limits\"", R"("tenants":[{"name":"north","apiKeys":["abc"],"ratePerS":2.5}],"limits")");
    text.insert(place % text.size(), bytes);
    try {
        readOperatorConfiguration(text);
    } catch (const Error&) {
        RC_SUCCEED("refused");
    }
}

TEST(StoreReply, ReadsItemsAndLeavesOutWhatIsNone)
{
    Transport::HttpResponse response { 200, {}, R"({"items":[{"key":"a","value":"bm9kZS0x","revision":412,"created":412,"lease":77120},{"key":"b","value":"?","revision":1},5],"hasMore":true,"at":530})" };
    auto items = readRange(response);
    ASSERT_TRUE(items.has_value());
    ASSERT_EQ(items->values.size(), 1u);
    EXPECT_EQ(items->values[0].value, "node-1");
    EXPECT_EQ(items->values[0].lease, Decision::PlatformLease("0:77120"));
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

// The store gives out lease numbers of up to 64 bits. One that lost its upper bits named no lease, so no key could be held.
TEST(StoreReply, LeasesKeepAllBitsOfTheirNumbers)
{
    constexpr auto number = "14605021445086123456";
    Transport::HttpResponse granted { 200, { { "store-era", "3" } }, R"({"lease":14605021445086123456,"ttlMs":1500})" };
    auto lease = readGrant(granted).lease;
    EXPECT_TRUE(formatRenewal(lease).target.ends_with(std::string("/") + number));
    EXPECT_TRUE(formatRevocation(lease).target.ends_with(std::string("/") + number));
    EXPECT_NE(formatWrite("key", "value", {}, lease).body.find(number), std::string::npos);
    EXPECT_EQ(eraOf(eraMarkOf(lease)), 3u);
    EXPECT_EQ(eraMarkOf(PlatformLease()), 0u);
}
