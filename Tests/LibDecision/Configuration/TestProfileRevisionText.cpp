#include <LibDecision/Configuration/ProfileRevisionText.h>
#include <LibModel/Error.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Decision;

namespace {

std::string textWith(const std::string& line)
{
    return "name: desk\nrevision: 3\npublish-id: p\nauthor: a\ndocument: 'name: desk'\n" + line;
}

}

RC_GTEST_PROP(ProfileRevisionText, EncodingAndDecodingRoundTrips, ())
{
    auto printable = rc::gen::container<std::string>(rc::gen::oneOf(rc::gen::inRange<char>(' ', 127), rc::gen::element('\n', '\t', '\'', '"', ':', '#')));
    ProfileRevision revision {
        ProfileName("commission-desk"), Revision(*rc::gen::inRange<uint64_t>(1, uint64_t(1) << 60)), PublishId("p-" + *printable), *printable, "x" + *printable
    };
    RC_ASSERT(decodeProfileRevision(encodeProfileRevision(revision), "profiles/commission-desk") == revision);
}

TEST(ProfileRevisionText, PreservesNonAsciiText)
{
    ProfileRevision revision { ProfileName("desk"), Revision(1), PublishId("p"), "Žofia", "name: desk # révision\n" };
    EXPECT_EQ(decodeProfileRevision(encodeProfileRevision(revision), "profiles/desk"), revision);
}

TEST(ProfileRevisionText, RejectsMalformedTextAndMismatchedKeys)
{
    EXPECT_EQ(decodeProfileRevision(textWith(""), "profiles/desk").revision, Revision(3));
    EXPECT_EQ(decodeProfileRevision(textWith(""), "history/desk/3").revision, Revision(3));
    EXPECT_THROW(decodeProfileRevision(textWith(""), "profiles/other"), DocumentError);
    EXPECT_THROW(decodeProfileRevision(textWith(""), "history/desk/4"), DocumentError);
    EXPECT_THROW(decodeProfileRevision(textWith("more: 1\n"), "profiles/desk"), DocumentError);
    EXPECT_THROW(decodeProfileRevision("name: desk\npublish-id: p\ndocument: d\n", "profiles/desk"), DocumentError);
    EXPECT_THROW(decodeProfileRevision("[", "profiles/desk"), DocumentError);
}

TEST(ProfileRevisionText, ValidatesTheDocument)
{
    ProfileRevision revision { ProfileName("desk"), Revision(1), PublishId("p"), "a", "name: desk\n" };
    EXPECT_EQ(parseAndCheckProfile(revision).name, revision.name);
    revision.document = "name: other\n";
    EXPECT_THROW(parseAndCheckProfile(revision), DocumentError);
    revision.document = "name: desk\n#" + std::string(maximumRevisionBytes, 'x');
    EXPECT_THROW(parseAndCheckProfile(revision), DocumentError);
}
