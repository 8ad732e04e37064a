#include <Services/fulmard/ClientOutcome.h>

#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <vector>

using namespace Fulmard;
using Decision::AttemptResult;
using Model::EdgeSettings;
using Model::Reason;
using Model::RequestId;

namespace {

EdgeSettings edgeWithIds()
{
    EdgeSettings edge;
    edge.requestId = "attempt";
    edge.notRun = "not-run";
    edge.notRunValue = "";
    edge.hasRequestIdInAnswers = true;
    return edge;
}

Transport::ClientResult answerOf(uint16_t status, const std::string& id, bool isNotRun)
{
    Transport::ClientResult result;
    result.status = Transport::ClientStatus::Answered;
    result.wasFreshConnection = false;
    result.response.status = status;
    if (!id.empty())
        result.response.headers.push_back({ "attempt", id });
    if (isNotRun)
        result.response.headers.push_back({ "not-run", "full" });
    return result;
}

}

// A backend server wrote an earlier refusal once more on a reused connection: the request may have run.
TEST(ClientOutcome, ARefusalOfAnotherRequestSaysNothingOfThisOne)
{
    for (uint16_t status : { 503, 429, 421, 400 }) {
        for (const auto* id : { "earlier", "" }) {
            auto report = runReportOf(answerOf(status, id, true), edgeWithIds(), RequestId("this"));
            EXPECT_EQ(report.result, AttemptResult::Malformed) << status << " with id \"" << id << '"';
        }
    }
}

TEST(ClientOutcome, ARefusalOfThisRequestMeansThatItDidNotRun)
{
    EXPECT_EQ(runReportOf(answerOf(503, "this", true), edgeWithIds(), RequestId("this")).result, AttemptResult::RefusedNotRun);
    EXPECT_EQ(runReportOf(answerOf(421, "this", false), edgeWithIds(), RequestId("this")).reason, Reason::BackendMisdirected);
    // On a new connection there is no earlier refusal.
    auto first = answerOf(503, "", true);
    first.wasFreshConnection = true;
    EXPECT_EQ(runReportOf(first, edgeWithIds(), RequestId("this")).result, AttemptResult::RefusedNotRun);
    EXPECT_EQ(runReportOf(answerOf(503, "", true), EdgeSettings { .notRun = "not-run", .notRunValue = "" }, RequestId("this")).result, AttemptResult::RefusedNotRun);
}

TEST(ClientOutcome, AnAnswerTellsTheLimitThatTheBackendServerNames)
{
    struct Case {
        std::vector<std::string> values;
        std::optional<double> limit;
    };
    const std::vector<Case> cases { { { "2.5" }, 2.5 }, { { "0" }, 0 }, { { "12" }, 12 }, { { "7", "3" }, 3 }, { { "7", "nan" }, 7 } };
    for (const auto& [values, limit] : cases) {
        auto answer = answerOf(200, "this", false);
        for (const auto& value : values)
            answer.response.headers.push_back({ "fulmar-request-limit", value });
        auto report = runReportOf(answer, edgeWithIds(), RequestId("this"));
        ASSERT_TRUE(report.notice);
        EXPECT_EQ(report.notice->requestLimit, limit);
    }
}

TEST(ClientOutcome, ALimitThatIsNoDecimalNumberNeitherNamesNorEndsOne)
{
    for (const auto* value : { "", "nan", "inf", "-1", "+1", "1e9", "0x10", "ten", "3 a second", "1,5" }) {
        auto answer = answerOf(200, "this", false);
        answer.response.headers.push_back({ "fulmar-request-limit", value });
        EXPECT_FALSE(runReportOf(answer, edgeWithIds(), RequestId("this")).notice) << value;
    }
    auto huge = answerOf(200, "this", false);
    huge.response.headers.push_back({ "fulmar-request-limit", std::string(400, '9') });
    EXPECT_FALSE(runReportOf(huge, edgeWithIds(), RequestId("this")).notice);
}

TEST(ClientOutcome, OnlyAnswersOfThisRequestSpeakForTheBackendServer)
{
    auto speaks = [](Transport::ClientResult answer, std::vector<Transport::HttpHeader> headers) {
        answer.response.headers.insert(answer.response.headers.end(), headers.begin(), headers.end());
        return runReportOf(answer, edgeWithIds(), RequestId("this")).notice;
    };
    // A failure and a refusal speak as well as a success.
    for (uint16_t status : { 200, 404, 500 })
        EXPECT_EQ(speaks(answerOf(status, "this", false), {}), Decision::BackendNotice {});
    EXPECT_TRUE(speaks(answerOf(503, "this", true), { { "fulmar-leaving", "1" } })->isLeaving);
    EXPECT_FALSE(speaks(answerOf(200, "this", false), { { "fulmar-leaving", "0" } })->isLeaving);
    EXPECT_FALSE(speaks(answerOf(200, "earlier", false), { { "fulmar-request-limit", "1" }, { "fulmar-leaving", "1" } }));
    // An answer without any id may be late: it can name a limit, but not show that there is none.
    EXPECT_FALSE(speaks(answerOf(200, "", false), {}));
    EXPECT_EQ(speaks(answerOf(200, "", false), { { "fulmar-request-limit", "1" } })->requestLimit, 1);
    auto broken = answerOf(200, "this", false);
    broken.status = Transport::ClientStatus::Cut;
    EXPECT_FALSE(speaks(broken, { { "fulmar-request-limit", "1" } }));
}

TEST(ClientOutcome, AnAnswerOfAnotherRequestIsNotDelivered)
{
    for (uint16_t status : { 200, 404, 500, 503 })
        EXPECT_EQ(runReportOf(answerOf(status, "earlier", false), edgeWithIds(), RequestId("this")).result, AttemptResult::Malformed);
}
