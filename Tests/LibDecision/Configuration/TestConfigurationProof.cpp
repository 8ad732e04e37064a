#include <LibDecision/Configuration/EraTrust.h>
#include <LibDecision/Configuration/RevisionProofs.h>

#include <gtest/gtest.h>

using namespace Decision;

namespace {

constexpr Duration bound = 5s;

BootInstant at(Duration sinceBoot) { return BootInstant(sinceBoot); }

}

// A proof for a version whose table hasn't arrived must not cover the older table, and must not displace its proof.
TEST(RevisionProofs, AProofCoversOnlyTablesOfItsVersionAndAbove)
{
    RevisionProofs proofs;
    EXPECT_EQ(proofs.latestFor(Revision(9)), nullptr);
    proofs.add({ at(1s), Revision(4), "platform" });
    proofs.add({ at(2s), Revision(6), "platform" });
    EXPECT_EQ(proofs.latestFor(Revision(3)), nullptr);
    EXPECT_EQ(proofs.latestFor(Revision(5))->at, at(1s));
    EXPECT_EQ(proofs.latestFor(Revision(7))->at, at(2s));
    EXPECT_EQ(proofs.latest()->version, Revision(6));
}

// Replies may arrive in any order: an old one must not make a proof older.
TEST(RevisionProofs, AnEarlierProofNeverReplacesALaterOne)
{
    RevisionProofs proofs;
    proofs.add({ at(3s), Revision(4), "platform" });
    proofs.add({ at(2s), Revision(4), "platform" });
    proofs.add({ at(1s), Revision(8), "platform" });
    EXPECT_EQ(proofs.latestFor(Revision(9))->at, at(3s));
    // After a restore the store may confirm a lower version; the statement is true of newer tables as well.
    proofs.add({ at(4s), Revision(2), "platform" });
    EXPECT_EQ(proofs.latestFor(Revision(3))->at, at(4s));
}

TEST(RevisionProofs, ManyVersionsWithoutATableAreBounded)
{
    RevisionProofs proofs;
    for (uint64_t version = 1; version <= 100; ++version)
        proofs.add({ at(std::chrono::seconds(version)), Revision(version), "platform" });
    EXPECT_EQ(proofs.latestFor(Revision(50)), nullptr);
    EXPECT_EQ(proofs.latestFor(Revision(100))->at, at(100s));
}

// A store that came back from a copy may lack the newest table, so its reads prove nothing for a while.
TEST(EraTrust, AfterARiseReadsCountOnceTheBoundHasPassedOrTheOperatorHasWritten)
{
    EraTrust trust(bound);
    trust.note(at(1s), 1);
    trust.note(at(100s), 2);
    EXPECT_FALSE(trust.isReadTrusted(at(101s), Revision(7)));
    EXPECT_EQ(trust.reliableEra(at(101s)), 0u);
    // A read from before the rise says nothing of what the store came back with.
    trust.noteRead(at(99s), Revision(4));
    trust.noteRead(at(101s), Revision(7));
    EXPECT_FALSE(trust.isReadTrusted(at(102s), Revision(7)));
    EXPECT_FALSE(trust.isReadTrusted(at(99s), Revision(8)));
    EXPECT_TRUE(trust.isReadTrusted(at(102s), Revision(8)));
    // Another process's word doesn't end the wait: it may have seen the era earlier, but not more of the operator.
    trust.vouch(2);
    EXPECT_FALSE(trust.isReadTrusted(at(104s), Revision(7)));
    EXPECT_TRUE(trust.isReadTrusted(at(105s), Revision(7)));
    EXPECT_EQ(trust.reliableEra(at(105s)), 2u);
}

// A restarted process doesn't know whether the era that it sees first is new.
TEST(EraTrust, TheFirstEraIsReliedOnOnceItIsVouchedForOrOld)
{
    EraTrust trust(bound);
    EXPECT_TRUE(trust.isReadTrusted(at(1s), Revision(3))) << "a store without eras";
    trust.note(at(1s), 4);
    EXPECT_FALSE(trust.isReadTrusted(at(2s), Revision(3)));
    trust.vouch(3);
    EXPECT_FALSE(trust.isReadTrusted(at(2s), Revision(3)));
    trust.vouch(4);
    EXPECT_TRUE(trust.isReadTrusted(at(2s), Revision(3)));
    EraTrust alone(bound);
    alone.note(at(1s), 4);
    EXPECT_TRUE(alone.isReadTrusted(at(6s), Revision(3)));
}
