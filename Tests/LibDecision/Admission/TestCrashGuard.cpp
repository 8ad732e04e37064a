#include <LibDecision/Admission/CrashGuard.h>

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

    void record(const std::string& victim, uint64_t incarnation = 1)
    {
        auto step = turn();
        m_guard.recordVictim(step, reportOf(m_fingerprint, victim, incarnation), m_policy);
        m_spread += step.takeRumors().size();
    }

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
    record("b");
    EXPECT_TRUE(isRefused());
    EXPECT_EQ(m_spread, 2u);
    EXPECT_FALSE(m_guard.isRefused({ 7, 8 }, m_policy, m_now)) << "other requests aren't refused";
}

TEST_F(CrashGuardTest, CountsEachIncarnationOfABackendServer)
{
    record("a", 1);
    record("a", 2);
    EXPECT_TRUE(isRefused());
}

TEST_F(CrashGuardTest, IgnoresVictimsOlderThanForgetAfter)
{
    record("a");
    record("b");
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
    EXPECT_TRUE(m_guard.apply(step, reportOf(m_fingerprint, "b")));
    EXPECT_FALSE(isRefused());
}

TEST_F(CrashGuardTest, CountsReportsOfOtherProcesses)
{
    record("a");
    auto step = turn();
    EXPECT_TRUE(m_guard.apply(step, reportOf(m_fingerprint, "b")));
    EXPECT_FALSE(m_guard.apply(step, reportOf(m_fingerprint, "b")));
    EXPECT_TRUE(isRefused());
}

TEST_F(CrashGuardTest, CutCountsOnlyUntilConfirmationTimeout)
{
    auto step = turn();
    m_guard.recordCut(step, reportOf(m_fingerprint, "a"));
    m_guard.recordCut(step, reportOf(m_fingerprint, "b"));
    EXPECT_TRUE(isRefused());
    EXPECT_TRUE(step.takeRumors().empty()) << "a cut isn't spread as a crash";
    m_now += CrashGuard::confirmationTimeout;
    EXPECT_FALSE(isRefused());
    record("a");
    record("b");
    EXPECT_TRUE(isRefused()) << "the crashes were confirmed later";
}

TEST_F(CrashGuardTest, IgnoresRequestsWithoutFingerprint)
{
    auto step = turn();
    EXPECT_FALSE(m_guard.apply(step, reportOf({}, "a")));
    EXPECT_FALSE(m_guard.apply(step, reportOf({}, "b")));
    EXPECT_FALSE(m_guard.isRefused({}, m_policy, m_now));
}

TEST_F(CrashGuardTest, EvictsLeastRecentlyReportedFingerprintWhenFull)
{
    auto step = turn();
    for (uint64_t number = 1; number <= CrashGuard::maximumFingerprints + 10; ++number) {
        m_guard.apply(step, reportOf({ 1, number }, "a"));
        m_guard.apply(step, reportOf({ 1, number }, "b"));
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
