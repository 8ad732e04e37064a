#include <Services/fulmard/ClientOutcome.h>

#include <gtest/gtest.h>

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

TEST(ClientOutcome, AnAnswerOfAnotherRequestIsNotDelivered)
{
    for (uint16_t status : { 200, 404, 500, 503 })
        EXPECT_EQ(runReportOf(answerOf(status, "earlier", false), edgeWithIds(), RequestId("this")).result, AttemptResult::Malformed);
}
