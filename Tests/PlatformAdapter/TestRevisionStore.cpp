#include <Tests/StandIns/StandInRevisionStore.h>

#include <gtest/gtest.h>
#include <optional>
#include <platform/RevisionStore.h>
#include <platform/WireNames.h>

using namespace PlatformAdapter;
using StandIns::StandInRevisionStore;
using Transport::EventLoop;

namespace {

const std::string emptyTable = R"({"version":VERSION,"routes":[],"services":[]})";

std::string configurationOf(uint64_t version)
{
    auto text = emptyTable;
    return text.replace(text.find("VERSION"), 7, std::to_string(version));
}

class RevisionStoreTest : public testing::Test {
protected:
    std::optional<PlatformReply> startCall(const PlatformOperation& operation)
    {
        m_reply.reset();
        m_store.execute(PlatformTag(++m_lastTag), operation, [this](PlatformReply reply) { m_reply = std::move(reply); });
        return m_reply;
    }

    PlatformReply awaitReply()
    {
        auto end = m_loop.now() + 20s;
        while (!m_reply && m_loop.now() < end)
            m_loop.runOnce(5ms);
        EXPECT_EQ(m_reply.value().tag, PlatformTag(m_lastTag));
        return *m_reply;
    }

    PlatformReply call(const PlatformOperation& operation)
    {
        EXPECT_FALSE(startCall(operation).has_value());
        return awaitReply();
    }

    EventLoop m_loop;
    StandInRevisionStore m_standIn { m_loop, { "127.0.0.1", 0 } };
    RevisionStore m_store { m_loop, m_standIn.endpoint() };
    std::optional<PlatformReply> m_reply;
    uint64_t m_lastTag { 0 };
};

}

TEST_F(RevisionStoreTest, WritesUnderAConditionAndReadsAllPages)
{
    m_standIn.setPageSize(2);
    for (int key = 0; key < 5; ++key)
        EXPECT_EQ(call(CompareAndSwap { "seeds/" + std::to_string(key), "value", {} }).status, PlatformStatus::Done);
    EXPECT_EQ(call(CompareAndSwap { "seeds/0", "other", {} }).status, PlatformStatus::Refused);
    auto reply = call(ReadPrefix { "seeds/" });
    EXPECT_EQ(reply.status, PlatformStatus::Done);
    ASSERT_EQ(reply.values.size(), 5u);
    EXPECT_EQ(reply.values[4].key, "seeds/4");
    EXPECT_EQ(call(CompareAndSwap { "seeds/0", "other", reply.values[0].version }).status, PlatformStatus::Done);
}

TEST_F(RevisionStoreTest, AWatchBringsTheNextRouteTable)
{
    m_standIn.put(configurationKey, configurationOf(7));
    auto first = call(WatchRoutes { 0, 1s });
    ASSERT_TRUE(first.routes);
    EXPECT_EQ(first.routes->version, Model::Revision(7));

    startCall(WatchRoutes { first.index, 10s });
    m_loop.runOnce(50ms);
    EXPECT_FALSE(m_reply.has_value());
    m_standIn.put(configurationKey, configurationOf(9));
    auto second = awaitReply();
    ASSERT_TRUE(second.routes);
    EXPECT_EQ(second.routes->version, Model::Revision(9));
}

TEST_F(RevisionStoreTest, ReadsEverythingAnewWhenTheHistoryIsGone)
{
    m_standIn.put(configurationKey, configurationOf(7));
    auto first = call(WatchRoutes { 0, 1s });
    m_standIn.put(configurationKey, configurationOf(8));
    m_standIn.dropHistory();
    auto second = call(WatchRoutes { first.index, 10s });
    ASSERT_TRUE(second.routes);
    EXPECT_EQ(second.routes->version, Model::Revision(8));
}

TEST_F(RevisionStoreTest, AnUnreadableConfigurationNamesItsProblemAndNoTable)
{
    m_standIn.put(configurationKey, "no json");
    auto reply = call(WatchRoutes { 0, 1s });
    EXPECT_EQ(reply.status, PlatformStatus::Done);
    EXPECT_FALSE(reply.routes);
    EXPECT_FALSE(reply.problem.empty());
}

TEST_F(RevisionStoreTest, ARefusedCallTellsNothingOfItsOutcome)
{
    m_standIn.refuse(503);
    EXPECT_EQ(call(CompareAndSwap { "a", "b", {} }).status, PlatformStatus::NoAnswer);
    auto watched = call(WatchRoutes { 0, 1s });
    EXPECT_EQ(watched.status, PlatformStatus::NoAnswer);
    EXPECT_NE(watched.problem.find("503"), std::string::npos) << watched.problem;
    m_standIn.refuse(0);
    EXPECT_EQ(call(CompareAndSwap { "a", "b", {} }).status, PlatformStatus::Done);
}

TEST_F(RevisionStoreTest, LeasesHoldKeysUntilTheyEnd)
{
    auto lease = call(GrantLease { 2s, "holder" }).lease;
    auto other = call(GrantLease { 2s, "other" }).lease;
    EXPECT_EQ(call(AcquireKey { "claims/1", "me", lease }).status, PlatformStatus::Done);
    EXPECT_EQ(call(AcquireKey { "claims/1", "you", other }).status, PlatformStatus::Refused);
    EXPECT_EQ(call(RenewLease { lease }).status, PlatformStatus::Done);
    EXPECT_EQ(call(ReleaseKey { "claims/1", "me", other }).status, PlatformStatus::Refused);
    EXPECT_EQ(call(ReleaseKey { "claims/1", "me", lease }).status, PlatformStatus::Done);
    EXPECT_EQ(call(AcquireKey { "claims/1", "you", other }).status, PlatformStatus::Done);
    EXPECT_EQ(call(RevokeLease { other }).status, PlatformStatus::Done);
    EXPECT_EQ(call(RenewLease { other }).status, PlatformStatus::Refused);
    EXPECT_TRUE(call(ReadPrefix { "claims/" }).values.empty());
}

TEST_F(RevisionStoreTest, AWatchFromBeforeARestoreMissesNoChange)
{
    m_standIn.put(configurationKey, configurationOf(7));
    m_standIn.takeCopy();
    for (int write = 0; write < 3; ++write)
        m_standIn.put("other", "value");
    auto first = call(WatchRoutes { 0, 1s });
    m_standIn.restoreCopy();
    m_standIn.put(configurationKey, configurationOf(8));
    for (int write = 0; write < 5; ++write)
        m_standIn.put("other", "value");
    auto second = call(WatchRoutes { first.index, 100ms });
    ASSERT_TRUE(second.routes);
    EXPECT_EQ(second.routes->version, Model::Revision(8));
    EXPECT_EQ(first.era + 1, second.era);
}

TEST_F(RevisionStoreTest, AConditionOfBeforeARestoreDoesNotHoldForAnothersWrite)
{
    m_standIn.takeCopy();
    EXPECT_EQ(call(CompareAndSwap { "seeds/0", "mine", {} }).status, PlatformStatus::Done);
    auto mine = call(ReadPrefix { "seeds/" }).values.at(0);
    m_standIn.restoreCopy();
    m_standIn.put("fulmarsail/seeds/0", "another's");
    auto end = m_loop.now() + 1100ms;
    while (m_loop.now() < end)
        m_loop.runOnce(50ms);
    startCall(CompareAndSwap { "seeds/0", "mine again", mine.version });
    EXPECT_EQ(awaitReply().status, PlatformStatus::Refused);
    EXPECT_EQ(call(ReadPrefix { "seeds/" }).values.at(0).value, "another's");
}

// The store may have executed the write, so the caller has to look.
TEST_F(RevisionStoreTest, AWriteThatMeetsARestoreHasNoKnownOutcome)
{
    m_standIn.takeCopy();
    EXPECT_EQ(call(CompareAndSwap { "seeds/0", "mine", {} }).status, PlatformStatus::Done);
    auto mine = call(ReadPrefix { "seeds/" }).values.at(0);
    m_standIn.restoreCopy();
    m_standIn.put("fulmarsail/seeds/0", "another's");
    EXPECT_EQ(call(CompareAndSwap { "seeds/0", "mine again", mine.version }).status, PlatformStatus::NoAnswer);
}

TEST_F(RevisionStoreTest, ALeaseOfBeforeARestoreIsNotTakenForAnothers)
{
    m_standIn.takeCopy();
    auto mine = call(GrantLease { 2s, "me" }).lease;
    m_standIn.restoreCopy();
    auto others = call(GrantLease { 2s, "another" }).lease;
    EXPECT_NE(mine, others);
    startCall(RenewLease { mine });
    EXPECT_EQ(awaitReply().status, PlatformStatus::Refused);
    EXPECT_EQ(call(AcquireKey { "claims/1", "another", others }).status, PlatformStatus::Done);
    EXPECT_EQ(call(AcquireKey { "claims/1", "me", mine }).status, PlatformStatus::Refused);
    startCall(ReleaseKey { "claims/1", "me", mine });
    EXPECT_EQ(awaitReply().status, PlatformStatus::Refused);
    EXPECT_EQ(call(RenewLease { others }).status, PlatformStatus::Done);
}

TEST_F(RevisionStoreTest, PagesOfTwoErasMakeNoListing)
{
    m_standIn.setPageSize(1);
    m_standIn.put("fulmarsail/seeds/0", "a");
    m_standIn.takeCopy();
    m_standIn.put("fulmarsail/seeds/1", "b");
    m_standIn.restoreCopyAfter(1);
    EXPECT_EQ(call(ReadPrefix { "seeds/" }).status, PlatformStatus::NoAnswer);
    EXPECT_EQ(call(ReadPrefix { "seeds/" }).values.size(), 1u);
}

// Guards against a proof from an answer that doesn't cover all that was confirmed before the read.
TEST_F(RevisionStoreTest, AConfirmationBringsEachChangeOnceAndNothingOtherwise)
{
    m_standIn.put(configurationKey, configurationOf(7));
    auto first = call(ConfirmRoutes { 0 });
    ASSERT_TRUE(first.routes);
    EXPECT_EQ(first.routes->version, Model::Revision(7));
    m_standIn.put("other", "value");
    auto unchanged = call(ConfirmRoutes { first.index });
    EXPECT_EQ(unchanged.status, PlatformStatus::Done);
    EXPECT_FALSE(unchanged.routes);
    EXPECT_GT(unchanged.index, first.index);
    EXPECT_EQ(call(ConfirmRoutes { unchanged.index }).index, unchanged.index);
    m_standIn.put(configurationKey, configurationOf(9));
    auto changed = call(ConfirmRoutes { unchanged.index });
    ASSERT_TRUE(changed.routes);
    EXPECT_EQ(changed.routes->version, Model::Revision(9));
    m_standIn.dropHistory();
    m_standIn.put("other", "value");
    EXPECT_EQ(call(ConfirmRoutes { first.index }).routes->version, Model::Revision(9));
    m_standIn.refuse(503);
    EXPECT_EQ(call(ConfirmRoutes { changed.index }).status, PlatformStatus::NoAnswer);
}

TEST_F(RevisionStoreTest, AConfirmationFromBeforeARestoreReadsTheConfigurationAnew)
{
    m_standIn.put(configurationKey, configurationOf(7));
    m_standIn.takeCopy();
    m_standIn.put(configurationKey, configurationOf(8));
    auto first = call(ConfirmRoutes { 0 });
    m_standIn.restoreCopy();
    auto second = call(ConfirmRoutes { first.index });
    ASSERT_TRUE(second.routes);
    EXPECT_EQ(second.routes->version, Model::Revision(7));
    EXPECT_EQ(second.era, first.era + 1);
}
