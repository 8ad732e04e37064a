#include <Tests/LibTransport/ClientFixture.h>
#include <Tests/StandIns/Json.h>
#include <Tests/StandIns/StandInPlatform.h>

#include <gtest/gtest.h>

using namespace StandIns;
using namespace Transport;
using namespace TransportTests;

namespace {

class StandInPlatforms : public ::testing::Test, public ClientFixture {
protected:
    ClientResult call(const std::string& method, const std::string& target, const std::string& body = "")
    {
        auto request = get(platform.endpoint(), target);
        request.request.method = method;
        request.request.body = body;
        request.deadline = 2s;
        return send(request);
    }

    ClientResult admin(const std::string& path, const std::string& body = "")
    {
        auto request = get(platform.adminEndpoint(), path);
        request.request.method = "PUT";
        request.request.body = body;
        return send(request);
    }

    StandInPlatform platform { loop, { "127.0.0.1", 0 }, { "127.0.0.1", 0 } };
};

}

TEST_F(StandInPlatforms, SpeaksTheKeyValueProtocol)
{
    auto missing = call("GET", "/v1/kv/profiles/?recurse");
    EXPECT_EQ(missing.response.status, 404);
    EXPECT_TRUE(findHeader(missing.response.headers, "x-consul-index").has_value());
    EXPECT_EQ(call("PUT", "/v1/kv/profiles/desk?cas=0", "cedar").response.body, "true");
    EXPECT_EQ(call("PUT", "/v1/kv/profiles/desk?cas=0", "maple").response.body, "false");
    auto listed = call("GET", "/v1/kv/profiles/?recurse");
    EXPECT_EQ(listed.response.status, 200);
    EXPECT_NE(listed.response.body.find(R"("Value":"Y2VkYXI=")"), std::string::npos) << listed.response.body;
    EXPECT_EQ(call("PUT", "/v1/kv/profiles/desk?acquire=nobody", "x").response.status, 500);
    EXPECT_EQ(platform.counters().writes, 3u);
    EXPECT_EQ(platform.counters().reads, 2u);
}

TEST_F(StandInPlatforms, HoldsAWatchUntilSomethingBelowItsPrefixChanges)
{
    call("PUT", "/v1/kv/profiles/desk", "1");
    auto index = platform.store().indexOf("profiles/");
    std::optional<ClientResult> result;
    client.send(get(platform.endpoint(), "/v1/kv/profiles/?recurse&wait=5s&index=" + std::to_string(index)), [&](ClientResult answer) { result = std::move(answer); });
    ASSERT_TRUE(runUntil([&] { return platform.waitingWatches() == 1; }));
    call("PUT", "/v1/kv/seeds/a", "1");
    EXPECT_FALSE(result.has_value());
    call("PUT", "/v1/kv/profiles/desk", "2");
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    EXPECT_EQ(findHeader(result->response.headers, "x-consul-index"), std::to_string(platform.store().indexOf("profiles/")));
    EXPECT_EQ(platform.counters().watches, 1u);

    index = platform.store().indexOf("profiles/");
    auto unchanged = call("GET", "/v1/kv/profiles/?recurse&wait=20ms&index=" + std::to_string(index));
    EXPECT_EQ(unchanged.response.status, 200);
    EXPECT_GE(unchanged.elapsed, 20ms);
}

TEST_F(StandInPlatforms, RefusesHangsAndLosesReplies)
{
    admin("/standin/fault", R"({"mode": "refusing"})");
    EXPECT_EQ(call("GET", "/v1/kv/a").status, ClientStatus::NotSent);
    admin("/standin/fault", R"({"mode": "hanging"})");
    EXPECT_EQ(call("PUT", "/v1/kv/a?cas=0", "1").status, ClientStatus::TimedOut);
    admin("/standin/fault", R"({"mode": "up", "lost_replies": 1})");
    EXPECT_FALSE(platform.store().get("a").has_value());
    EXPECT_EQ(call("PUT", "/v1/kv/a?cas=0", "1").status, ClientStatus::Cut);
    EXPECT_EQ(platform.store().get("a")->value, "1");
    EXPECT_EQ(call("PUT", "/v1/kv/b?cas=0", "1").response.body, "true");
    admin("/standin/fault", R"({"mode": "up", "delay_ms": 30})");
    EXPECT_GE(call("GET", "/v1/kv/a").elapsed, 30ms);
}

TEST_F(StandInPlatforms, ConfirmsWritesWhileReadsAreSilent)
{
    call("PUT", "/v1/kv/a", "old");
    auto index = platform.store().indexOf("a");
    std::optional<ClientResult> result;
    client.send(get(platform.endpoint(), "/v1/kv/a?recurse&wait=5s&index=" + std::to_string(index)), [&](ClientResult answer) { result = std::move(answer); });
    ASSERT_TRUE(runUntil([&] { return platform.waitingWatches() == 1; }));
    admin("/standin/fault", R"({"mode": "silent-reads"})");
    EXPECT_EQ(call("PUT", "/v1/kv/a", "new").response.body, "true");
    EXPECT_FALSE(runUntil([&] { return result.has_value(); }, 50ms));
    admin("/standin/fault", R"({"mode": "up"})");
    EXPECT_TRUE(runUntil([&] { return result.has_value(); }));
}

TEST_F(StandInPlatforms, GoesBackToASnapshotAndEndsWatches)
{
    call("PUT", "/v1/kv/a", "old");
    admin("/standin/snapshot");
    call("PUT", "/v1/kv/a", "new");
    auto index = platform.store().indexOf("a");
    std::optional<ClientResult> result;
    client.send(get(platform.endpoint(), "/v1/kv/a?recurse&wait=5s&index=" + std::to_string(index)), [&](ClientResult answer) { result = std::move(answer); });
    ASSERT_TRUE(runUntil([&] { return platform.waitingWatches() == 1; }));
    admin("/standin/restore");
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    EXPECT_EQ(platform.store().get("a")->value, "old");
    EXPECT_LT(platform.store().indexOf("a"), index);
}

TEST_F(StandInPlatforms, EndsSessionsThatAreNotRenewed)
{
    auto created = call("PUT", "/v1/session/create", R"({"Name": "n", "TTL": "50ms", "LockDelay": "0s", "Behavior": "release"})");
    auto session = parseObject(created.response.body).value()["ID"].asString();
    EXPECT_EQ(call("PUT", "/v1/kv/lock?acquire=" + session, "mine").response.body, "true");
    EXPECT_EQ(call("PUT", "/v1/session/renew/" + session).response.status, 200);
    EXPECT_TRUE(runUntil([&] { return platform.store().get("lock")->session.empty(); }));
    EXPECT_EQ(call("PUT", "/v1/session/renew/" + session).response.status, 404);
}
