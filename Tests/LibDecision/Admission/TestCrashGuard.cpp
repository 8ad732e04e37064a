#include <LibDecision/Admission/CrashGuard.h>

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

class CrashGuardTest : public testing::Test {
protected:
    Turn turn() { return Turn(m_now, m_random, m_tag); }

    static CrashReport reportOf(const Fingerprint& fingerprint, const std::string& victim, uint64_t incarnation = 1)
    {
        return { fingerprint, BackendId(victim), Incarnation(incarnation) };
    }

    // Of a run that was alone, as all are after the first victim.
    static CrashReport aloneReportOf(const Fingerprint& fingerprint, const std::string& victim, uint64_t incarnation = 1)
    {
        return { fingerprint, BackendId(victim), Incarnation(incarnation), true };
    }

    void record(const CrashReport& report)
    {
        auto step = turn();
        m_guard.recordVictim(step, report, m_policy);
        m_spread += step.takeRumors().size();
    }
    void record(const std::string& victim, uint64_t incarnation = 1) { record(reportOf(m_fingerprint, victim, incarnation)); }
    void recordAlone(const std::string& victim, uint64_t incarnation = 1) { record(aloneReportOf(m_fingerprint, victim, incarnation)); }

    bool isRefused() const { return m_guard.isRefused(m_fingerprint, m_policy, m_now); }

    Instant m_now { 1h };
    std::mt19937_64 m_random { 1 };
    PlatformTag m_tag;
    CrashPolicy m_policy;
    Fingerprint m_fingerprint { 7, 7 };
    CrashGuard m_guard;
    size_t m_spread { 0 };
};

}

TEST_F(CrashGuardTest, RefusesAfterTheMaximumNumberOfVictims)
{
    record("a");
    EXPECT_FALSE(isRefused());
    EXPECT_TRUE(m_guard.isSuspected(m_fingerprint, m_policy, m_now));
    record("a");
    EXPECT_FALSE(isRefused()) << "the same crash is counted once";
    recordAlone("b");
    EXPECT_TRUE(isRefused());
    EXPECT_EQ(m_spread, 2u);
    EXPECT_FALSE(m_guard.isRefused({ 7, 8 }, m_policy, m_now)) << "other requests aren't refused";
}

TEST_F(CrashGuardTest, CountsEachIncarnationOfABackendServer)
{
    record("a", 1);
    recordAlone("a", 2);
    EXPECT_TRUE(isRefused());
}

TEST_F(CrashGuardTest, IgnoresVictimsOlderThanForgetAfter)
{
    record("a");
    recordAlone("b");
    m_now += m_policy.forgetAfter;
    EXPECT_FALSE(isRefused());
}

TEST_F(CrashGuardTest, AnswerClearsVictimAndLateRumorDoesNotCountItAgain)
{
    record("a");
    auto step = turn();
    m_guard.recordAnswer(step, m_fingerprint);
    EXPECT_FALSE(m_guard.apply(step, reportOf(m_fingerprint, "a")));
    EXPECT_FALSE(m_guard.isSuspected(m_fingerprint, m_policy, m_now));
    EXPECT_TRUE(m_guard.apply(step, aloneReportOf(m_fingerprint, "b")));
    EXPECT_FALSE(isRefused());
}

TEST_F(CrashGuardTest, CountsReportsOfOtherProcesses)
{
    record("a");
    auto step = turn();
    EXPECT_TRUE(m_guard.apply(step, aloneReportOf(m_fingerprint, "b")));
    EXPECT_FALSE(m_guard.apply(step, aloneReportOf(m_fingerprint, "b")));
    EXPECT_TRUE(isRefused());
}

TEST_F(CrashGuardTest, CutCountsOnlyUntilConfirmationTimeout)
{
    auto step = turn();
    m_guard.recordCut(step, reportOf(m_fingerprint, "a"));
    m_guard.recordCut(step, aloneReportOf(m_fingerprint, "b"));
    EXPECT_TRUE(isRefused());
    EXPECT_TRUE(step.takeRumors().empty()) << "a cut isn't spread as a crash";
    m_now += CrashGuard::confirmationTimeout;
    EXPECT_FALSE(isRefused());
    record("a");
    recordAlone("b");
    EXPECT_TRUE(isRefused()) << "the crashes were confirmed later";
}

// Backend servers that are lost together for another reason may all have run the same popular request.
TEST_F(CrashGuardTest, CountsVictimsOfRunsThatWereNotAloneAsOne)
{
    record("a");
    record("c");
    record("d");
    EXPECT_FALSE(isRefused());
    EXPECT_TRUE(m_guard.isSuspected(m_fingerprint, m_policy, m_now));
    recordAlone("b");
    EXPECT_TRUE(isRefused());
}

TEST_F(CrashGuardTest, ProcessesThatSawNoAnswerLearnThatARequestIsCleared)
{
    record("a");
    auto step = turn();
    m_guard.recordAnswer(step, m_fingerprint);
    auto rumors = step.takeRumors();
    ASSERT_EQ(rumors.size(), 1u);
    auto cleared = std::get<CrashReport>(rumors[0].rumor);

    for (bool isClearedFirst : { true, false }) {
        CrashGuard other;
        auto reports = std::array { cleared, reportOf(m_fingerprint, "a") };
        if (!isClearedFirst)
            std::ranges::reverse(reports);
        std::ranges::for_each(reports, [&](const CrashReport& report) { other.apply(step, report); });
        EXPECT_FALSE(other.isSuspected(m_fingerprint, m_policy, m_now)) << "cleared first: " << isClearedFirst;
    }
}

TEST_F(CrashGuardTest, ReportsThatAreToldAgainCountNoLongerThanTheFirstTime)
{
    record("a");
    recordAlone("b");
    m_now += m_policy.forgetAfter - 1s;
    CrashGuard restarted;
    auto step = turn();
    for (const auto& report : m_guard.newestReports(m_now, 64))
        restarted.apply(step, report);
    EXPECT_TRUE(restarted.isRefused(m_fingerprint, m_policy, m_now));
    m_now += 1s;
    EXPECT_FALSE(restarted.isRefused(m_fingerprint, m_policy, m_now));
}

TEST_F(CrashGuardTest, IgnoresRequestsWithoutFingerprint)
{
    auto step = turn();
    EXPECT_FALSE(m_guard.apply(step, reportOf({}, "a")));
    EXPECT_FALSE(m_guard.apply(step, aloneReportOf({}, "b")));
    EXPECT_FALSE(m_guard.isRefused({}, m_policy, m_now));
}

TEST_F(CrashGuardTest, EvictsLeastRecentlyReportedFingerprintWhenFull)
{
    auto step = turn();
    for (uint64_t number = 1; number <= CrashGuard::maximumFingerprints + 10; ++number) {
        m_guard.apply(step, reportOf({ 1, number }, "a"));
        m_guard.apply(step, aloneReportOf({ 1, number }, "b"));
    }
    EXPECT_EQ(m_guard.size(), CrashGuard::maximumFingerprints);
    EXPECT_FALSE(m_guard.isRefused({ 1, 10 }, m_policy, m_now));
    EXPECT_TRUE(m_guard.isRefused({ 1, 11 }, m_policy, m_now));
}

TEST_F(CrashGuardTest, RemovesSuspectsAfterRetention)
{
    record("a");
    auto due = m_guard.nextTimer();
    ASSERT_TRUE(due);
    m_now = *due;
    auto step = turn();
    m_guard.handleTimer(step);
    EXPECT_EQ(m_guard.size(), 0u);
    EXPECT_FALSE(m_guard.nextTimer());
}
