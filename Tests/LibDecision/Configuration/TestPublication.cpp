#include "FakePlatform.h"

#include <LibDecision/Configuration/ProfileRevisionText.h>
#include <LibDecision/Configuration/Publication.h>
#include <LibModel/Error.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

const ProfileName name("desk");

PublicationRequest requestOf(const std::string& publishId, std::optional<ProfileRevision> base = {})
{
    return { name, "operator", "name: desk # " + publishId + "\n", PublishId(publishId), std::move(base), std::nullopt };
}

enum class CallFault {
    None,
    LostRequest,
    LostReply,
    // The platform carries out the request only after the next one, and its reply is lost.
    Delayed,
};

// Runs a publication against a platform, one operation at a time, with an optional fault for each operation.
class Publisher {
public:
    Publisher(FakePlatform& platform, PublicationRequest request)
        : m_platform(platform)
        , m_publication(std::move(request))
    {
    }

    void step(CallFault fault)
    {
        if (!isRunning())
            return;
        auto operation = m_publication.operation();
        PlatformReply reply;
        if (fault == CallFault::None || fault == CallFault::LostReply)
            reply = m_platform.carryOut(PlatformTag(1), operation);
        if (m_delayed)
            m_platform.carryOut(PlatformTag(1), *std::exchange(m_delayed, std::nullopt));
        if (fault == CallFault::Delayed)
            m_delayed = operation;
        if (fault != CallFault::None)
            reply = {};
        m_publication.handle(reply);
    }

    // Carries out a delayed operation, which can still take effect after the publication has finished.
    void completeDelayed()
    {
        if (m_delayed)
            m_platform.carryOut(PlatformTag(1), *std::exchange(m_delayed, std::nullopt));
    }

    void finish()
    {
        while (isRunning())
            step(CallFault::None);
    }

    bool isRunning() const { return m_publication.state() == PublicationState::InProgress; }
    const Publication& publication() const { return m_publication; }

private:
    FakePlatform& m_platform;
    Publication m_publication;
    std::optional<PlatformOperation> m_delayed;
};

std::optional<ProfileRevision> storedIn(const FakePlatform& platform)
{
    auto text = platform.valueOf(profileKey(name));
    return text.empty() ? std::nullopt : std::optional(decodeProfileRevision(text, profileKey(name)));
}

// Records all publish ids that the platform accepted for the profile, in order.
class AcceptanceLog {
public:
    void observe(const FakePlatform& platform)
    {
        auto stored = storedIn(platform);
        if (stored && (m_accepted.empty() || m_accepted.back() != stored->publishId))
            m_accepted.push_back(stored->publishId);
    }

    bool contains(const PublishId& id) const { return std::ranges::find(m_accepted, id) != m_accepted.end(); }

private:
    std::vector<PublishId> m_accepted;
};

}

TEST(Publication, TheFirstRevisionIsAcceptedAndArchived)
{
    FakePlatform platform;
    Publisher publisher(platform, requestOf("first"));
    publisher.finish();
    EXPECT_EQ(publisher.publication().state(), PublicationState::Accepted);
    EXPECT_EQ(storedIn(platform)->revision, Revision(1));
    EXPECT_EQ(platform.valueOf("history/desk/1"), platform.valueOf("profiles/desk"));
}

TEST(Publication, AnInvalidDocumentIsRejectedBeforeAnyCall)
{
    auto request = requestOf("first");
    request.document = "name: desk\nhealth: {floor: 2}\n";
    EXPECT_THROW(Publication { request }, DocumentError);
}

TEST(Publication, AnOutdatedBaseIsAConflictWithTheCurrentRevision)
{
    FakePlatform platform;
    Publisher(platform, requestOf("first")).finish();
    auto base = storedIn(platform);
    Publisher(platform, requestOf("second", base)).finish();
    Publisher late(platform, requestOf("late", base));
    late.finish();
    EXPECT_EQ(late.publication().state(), PublicationState::Conflict);
    EXPECT_EQ(late.publication().conflicting()->publishId, PublishId("second"));
    EXPECT_EQ(storedIn(platform)->publishId, PublishId("second"));
}

TEST(Publication, ASwapWithALostReplyIsAcceptedEvenIfReplacedSince)
{
    FakePlatform platform;
    Publisher first(platform, requestOf("first"));
    first.step(CallFault::None);
    first.step(CallFault::LostReply);
    Publisher(platform, requestOf("second", storedIn(platform))).finish();
    first.finish();
    EXPECT_EQ(first.publication().state(), PublicationState::Accepted);
    EXPECT_EQ(storedIn(platform)->publishId, PublishId("second"));
}

TEST(Publication, APublicationToARestoredStoreGetsANumberAboveTheRevisionInForce)
{
    FakePlatform platform;
    Publisher(platform, requestOf("first")).finish();
    auto snapshot = platform.snapshot();
    Publisher(platform, requestOf("second", storedIn(platform))).finish();
    auto inForce = storedIn(platform);
    platform.restore(snapshot);

    auto request = requestOf("third", storedIn(platform));
    request.inForce = inForce;
    Publisher edited(platform, request);
    edited.finish();
    EXPECT_EQ(edited.publication().state(), PublicationState::Conflict);
    EXPECT_EQ(edited.publication().conflicting(), inForce);

    request.base = inForce;
    Publisher publisher(platform, request);
    publisher.finish();
    EXPECT_EQ(publisher.publication().state(), PublicationState::Accepted);
    EXPECT_EQ(storedIn(platform)->revision, inForce->revision.next());
}

RC_GTEST_PROP(Publication, ReportedStatesOfConcurrentPublicationsAreCorrectDespiteFaults, ())
{
    FakePlatform platform;
    Publisher(platform, requestOf("base")).finish();
    auto base = storedIn(platform);
    AcceptanceLog accepted;
    Publisher publishers[] = { { platform, requestOf("left", base) }, { platform, requestOf("right", base) } };
    auto faults = rc::gen::weightedElement<CallFault>({ { 4, CallFault::None }, { 1, CallFault::LostRequest }, { 2, CallFault::LostReply }, { 2, CallFault::Delayed } });
    while (publishers[0].isRunning() || publishers[1].isRunning()) {
        publishers[*rc::gen::element<size_t>(0, 1)].step(*faults);
        accepted.observe(platform);
    }
    for (auto& publisher : publishers) {
        publisher.completeDelayed();
        accepted.observe(platform);
    }

    for (const auto& publisher : publishers) {
        auto state = publisher.publication().state();
        auto isAccepted = accepted.contains(publisher.publication().candidate().publishId);
        if (state == PublicationState::Accepted)
            RC_ASSERT(isAccepted);
        if (state == PublicationState::Conflict || state == PublicationState::NotPublished)
            RC_ASSERT(!isAccepted);
        RC_TAG(std::string(nameOf(state)));
    }
    // Both have the same base, so at most one can be accepted.
    RC_ASSERT(!(accepted.contains(PublishId("left")) && accepted.contains(PublishId("right"))));
}

RC_GTEST_PROP(Publication, APublicationDoesNotEndUnknownOnceCallsAreAnswered, ())
{
    FakePlatform platform;
    Publisher publisher(platform, requestOf("only"));
    auto lostReplies = *rc::gen::inRange(0, 3);
    while (publisher.isRunning())
        publisher.step(lostReplies-- > 0 ? CallFault::LostReply : CallFault::None);
    auto isAccepted = storedIn(platform).has_value();
    RC_ASSERT(publisher.publication().state() == (isAccepted ? PublicationState::Accepted : PublicationState::NotPublished));
}
