#include <Tests/LibTransport/ClientFixture.h>
#include <Tests/StandIns/BodyHash.h>
#include <Tests/StandIns/Json.h>
#include <Tests/StandIns/StandInBackend.h>

#include <gtest/gtest.h>
#include <vector>

using namespace StandIns;
using namespace Transport;
using namespace TransportTests;

namespace {

class StandInBackends : public ::testing::Test, public ClientFixture {
protected:
    static StandInBackendSettings quickSettings()
    {
        StandInBackendSettings settings;
        settings.meanServiceTime = 1ms;
        settings.drainTime = 20ms;
        return settings;
    }

    ClientRequest call(const std::string& id, const std::string& body = "")
    {
        auto request = post(backend.endpoint(), body);
        request.request.headers = { { "fulmar-request-id", id } };
        request.deadline = 1s;
        return request;
    }

    StandInBackend backend { loop, quickSettings() };
};

}

TEST_F(StandInBackends, AnswersTheRequestThatItWasAskedAndCountsItsRun)
{
    auto result = send(call("r1", "cedar"));
    ASSERT_EQ(result.status, ClientStatus::Answered) << result.error;
    auto body = parseObject(result.response.body).value();
    EXPECT_EQ(body["request_id"], "r1");
    EXPECT_EQ(body["body_hash"], bodyHash("cedar"));
    EXPECT_NE(body["body_hash"], bodyHash("maple"));
    EXPECT_EQ(backend.ledger().runsOf("r1"), 1u);

    auto ledger = parseObject(send(get(backend.endpoint(), "/ledger")).response.body).value();
    EXPECT_EQ(ledger["total"], 1);
    EXPECT_EQ(ledger["runs"]["r1"], 1);
}

// The soak's checks of tenants rest on these notes.
TEST_F(StandInBackends, NotesTenantsBySendAndSecretsThatReachedIt)
{
    auto settings = quickSettings();
    settings.secretMarker = "soak-key-";
    StandInBackend watchful(loop, settings);
    auto request = post(watchful.endpoint(), "");
    request.request.headers = { { sendIdHeader, "s1" }, { tenantHeader, "north" } };
    send(request);
    request.request.headers = { { sendIdHeader, "s2" }, { "authorization", "Bearer soak-key-1" } };
    send(request);
    auto ledger = watchful.ledger().toJson();
    EXPECT_EQ(ledger["sends"]["s1"]["north"].asUInt(), 1u);
    EXPECT_EQ(ledger["sends"]["s2"][""].asUInt(), 1u);
    EXPECT_EQ(ledger["leaks"].size(), 1u);
}

TEST_F(StandInBackends, RunsNoMoreThanItsSlots)
{
    int answered = 0;
    for (int i = 0; i < 20; ++i)
        client.send(call(std::to_string(i)), [&](ClientResult) { ++answered; });
    uint32_t most = 0;
    EXPECT_TRUE(runUntil([&] {
        most = std::max(most, backend.running());
        return answered == 20;
    }));
    EXPECT_EQ(most, 3u);
    EXPECT_EQ(backend.ledger().totalRuns(), 20u);
}

TEST_F(StandInBackends, StaysHealthyToProbesWhateverIsWrong)
{
    BackendFaults faults;
    faults.isStuck = true;
    backend.setFaults(faults);
    EXPECT_EQ(send(call("r1")).status, ClientStatus::TimedOut);
    EXPECT_EQ(send(get(backend.endpoint(), "/health")).response.status, 200);
    EXPECT_EQ(backend.ledger().runsOf("r1"), 1u);
    EXPECT_TRUE(runUntil([&] { return backend.running() == 0; }));
}

TEST_F(StandInBackends, ShedsWithoutARun)
{
    auto answer = send(post(Endpoint { "127.0.0.1", backend.endpoint().port }, ""));
    ASSERT_EQ(answer.response.status, 200);
    auto fault = post(backend.endpoint(), R"({"shed_share": 1})");
    fault.request.target = "/fault";
    ASSERT_EQ(send(fault).response.status, 200);
    auto result = send(call("r1"));
    EXPECT_EQ(result.response.status, 503);
    EXPECT_EQ(findHeader(result.response.headers, "fulmar-outcome"), "not-run");
    EXPECT_EQ(backend.ledger().runsOf("r1"), 0u);
}

TEST_F(StandInBackends, FailsCutsAndAnswersWronglyAsTold)
{
    BackendFaults faults;
    faults.errorShare = 1;
    backend.setFaults(faults);
    EXPECT_EQ(send(call("r1")).response.status, 500);

    faults = {};
    faults.cutShare = 1;
    backend.setFaults(faults);
    EXPECT_EQ(send(call("r2")).status, ClientStatus::Cut);

    faults = {};
    faults.wrongShare = 1;
    backend.setFaults(faults);
    auto wrong = parseObject(send(call("r3")).response.body).value();
    EXPECT_EQ(wrong["request_id"], "r2");
    EXPECT_EQ(backend.ledger().runsOf("r3"), 1u);
}

TEST_F(StandInBackends, RefusesFaultsThatItCannotRead)
{
    EXPECT_TRUE(parseFaults(R"({"error_share": 0.5})").has_value());
    for (const auto* text : { "", "[]", R"({"error_share": "many"})", R"({"flap_period_ms": []})" })
        EXPECT_FALSE(parseFaults(text).has_value()) << text;
}

TEST_F(StandInBackends, SilencesOldConnectionsWhileNewOnesWork)
{
    ASSERT_EQ(send(call("r1")).status, ClientStatus::Answered);
    BackendFaults faults;
    faults.silencesConnections = true;
    backend.setFaults(faults);
    auto lost = send(call("r2"));
    EXPECT_EQ(lost.status, ClientStatus::TimedOut);
    EXPECT_FALSE(lost.wasFreshConnection);
    EXPECT_EQ(backend.ledger().runsOf("r2"), 0u);
    auto fresh = send(call("r3"));
    EXPECT_EQ(fresh.status, ClientStatus::Answered);
    EXPECT_TRUE(fresh.wasFreshConnection);
}

TEST_F(StandInBackends, CrashesOnTheMarkerAndComesBack)
{
    BackendFaults faults;
    faults.crashMarker = "poison";
    faults.crashTime = 50ms;
    backend.setFaults(faults);
    EXPECT_EQ(send(call("r1", "some poison")).status, ClientStatus::Cut);
    EXPECT_EQ(send(call("r2")).status, ClientStatus::NotSent);
    EXPECT_EQ(backend.ledger().runsOf("r1"), 1u);
    ASSERT_TRUE(runUntil([&] { return backend.phase() == BackendPhase::Serving; }));
    EXPECT_EQ(send(call("r3")).status, ClientStatus::Answered);
    EXPECT_EQ(backend.incarnation(), Incarnation(2));
}

TEST_F(StandInBackends, FlapsBetweenGoodAndBad)
{
    BackendFaults faults;
    faults.errorShare = 1;
    faults.flapPeriod = 100ms;
    backend.setFaults(faults);
    int good = 0;
    int bad = 0;
    EXPECT_TRUE(runUntil([&] {
        ++(send(call("r")).response.status == 200 ? good : bad);
        return good > 3 && bad > 3;
    }));
}

TEST_F(StandInBackends, FinishesWhatIsInFlightBeforeItLeaves)
{
    auto settings = quickSettings();
    settings.meanServiceTime = 60ms;
    settings.spread = 0;
    StandInBackend leaving(loop, settings);
    std::optional<ClientResult> result;
    client.send(post(leaving.endpoint(), "x"), [&](ClientResult answer) { result = std::move(answer); });
    ASSERT_TRUE(runUntil([&] { return leaving.running() == 1; }));
    bool isDrained = false;
    leaving.drain([&] { isDrained = true; });
    EXPECT_EQ(leaving.phase(), BackendPhase::Draining);
    ASSERT_TRUE(runUntil([&] { return isDrained; }));
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    EXPECT_EQ(result->status, ClientStatus::Answered);
}

TEST_F(StandInBackends, AnnouncesItselfUntilItLeaves)
{
    std::vector<HttpRequest> seen;
    std::unique_ptr<HttpServer> control;
    HttpServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    options.onRequest = [&](ServerRequestId id, HttpRequest request) {
        seen.push_back(std::move(request));
        control->respond(id, {});
    };
    control = std::make_unique<HttpServer>(loop, options);

    auto settings = quickSettings();
    settings.id = BackendId("desk-7");
    settings.control = control->endpoint();
    settings.lapse = 60ms;
    settings.coldStart = 30ms;
    StandInBackend announced(loop, settings);
    ASSERT_TRUE(runUntil([&] { return seen.size() >= 4; }));
    EXPECT_EQ(seen[0].method, "PUT");
    EXPECT_EQ(seen[0].target, "/v1/backends/desk-7");
    auto first = parseObject(seen[0].body).value();
    EXPECT_EQ(first["phase"], "warming");
    EXPECT_EQ(first["endpoint"], announced.endpoint().toString());
    EXPECT_EQ(first["slots"], 3);
    EXPECT_EQ(parseObject(seen[3].body).value()["phase"], "serving");

    bool isDrained = false;
    announced.drain([&] { isDrained = true; });
    ASSERT_TRUE(runUntil([&] { return isDrained; }));
    EXPECT_EQ(seen.back().method, "DELETE");
    auto last = seen[seen.size() - 2];
    EXPECT_EQ(parseObject(last.body).value()["phase"], "draining");
}
