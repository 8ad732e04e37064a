#include <LibCheck/DocumentReader.h>
#include <LibControl/RouteTableCodec.h>
#include <platform/OperatorConfiguration.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Check;

namespace {

constexpr auto apiKey = "a-key-that-nobody-may-see";

const std::string configuration = R"({"version":7,"routes":[{"name":"r1","host":"office.example","prefix":"/r/","routeKind":"safe","timeoutMs":1200,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","maxConnections":5}],"tenants":[{"name":"amina","apiKeys":["a-key-that-nobody-may-see"]}]})";

DocumentReader readerOf(const std::vector<std::string>& documents)
{
    DocumentReader reader({ { PlatformAdapter::isOperatorConfiguration, PlatformAdapter::parseOperatorConfiguration } });
    for (const auto& document : documents)
        reader.read("file", document);
    return reader;
}

// The identifiers and entries of the findings, as in "entry-refused route r1".
std::vector<std::string> found(const DocumentReader& reader)
{
    std::vector<std::string> texts;
    for (const auto& finding : reader.findings())
        texts.push_back(std::string(nameOf(finding.id)) + " " + finding.entry);
    return texts;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST(DocumentReader, ReadsBothFormsOfTablesAndProfiles)
{
    auto reader = readerOf({ configuration, "schema: 1\nname: office-desk\n" });
    EXPECT_EQ(found(reader), std::vector<std::string> {});
    ASSERT_TRUE(reader.configuration().table);
    auto table = reader.configuration().table->table;
    EXPECT_EQ(table.routes.size(), 1u);
    EXPECT_EQ(reader.configuration().profiles.size(), 1u);
    // A product's table that was taken for the platform's would lose its routes.
    EXPECT_EQ(readerOf({ Control::encodeRouteTable(table) }).configuration().table->table, table);
    // The smallest configuration of the platform names no limits, which the product's form requires.
    EXPECT_EQ(found(readerOf({ R"({"version":1,"routes":[],"services":[]})" })), std::vector<std::string> {});
}

// Publishing stops at the first error; an operator wants all of them at once.
TEST(DocumentReader, ReportsEveryRefusedEntry)
{
    auto text = replaced(configuration, "\"services\":[", "\"services\":[{\"name\":\"desk\",\"maxConnections\":1},{\"name\":\"empty\",\"maxConnections\":0},{\"name\":7},");
    text = replaced(text, "\"routes\":[", R"("routes":[{"name":"r0","host":"office.example","prefix":"r","routeKind":"safe","timeoutMs":0,"service":"desk","maxAttempts":1},{"name":"r2","host":"h","prefix":"/","routeKind":"new"},)");
    text = replaced(text, "\"tenants\":[", R"("tenants":[{"name":"bilal","apiKeys":["a-key-that-nobody-may-see"],"ratePerS":-1},)");
    EXPECT_EQ(found(readerOf({ text })), (std::vector<std::string> { "entry-refused service empty", "entry-refused service desk", "entry-refused route r0", "entry-refused route r0", "entry-refused tenant bilal", "entry-refused tenant amina", "entry-refused a service", "entry-refused route r2" }));
}

TEST(DocumentReader, NamesTheMalformedEntryOfAProductsTable)
{
    auto text = Control::encodeRouteTable(readerOf({ configuration }).configuration().table->table);
    EXPECT_EQ(found(readerOf({ replaced(text, "\"pathPrefix\":\"/r/\"", "\"pathPrefix\":5") })), (std::vector<std::string> { "document-malformed routes[0]" }));
    EXPECT_EQ(found(readerOf({ replaced(text, "\"version\"", "\"Version\"") })), (std::vector<std::string> { "document-malformed " }));
}

TEST(DocumentReader, ReportsProfilesAndTablesThatCantBePublished)
{
    auto reader = readerOf({ "name: a\nretries:\n  budget: 7\n", "name: b\n", "name: b\n", "", configuration, configuration, "{\"version\":1,\n]" });
    EXPECT_EQ(found(reader), (std::vector<std::string> { "profile-refused retries.budget", "profile-twice profile b", "profile-refused document", "table-twice ", "table-twice " }));
    EXPECT_EQ(reader.findings()[0].line, 3);
    auto malformed = readerOf({ "{\"version\":1,\n]" });
    EXPECT_EQ(found(malformed), (std::vector<std::string> { "document-malformed " }));
    EXPECT_EQ(malformed.findings()[0].line, 2);
}

// A parser that throws would end the program with the code of another result, and one that quotes the text would
// write API keys into logs of pipelines.
RC_GTEST_PROP(DocumentReader, NoBytesDoWorseThanAFinding, (const std::string& bytes, uint16_t place, bool isCut))
{
    auto text = configuration;
    text.insert(place % text.size(), bytes);
    if (isCut)
        text.resize(place % text.size());
    auto reader = readerOf({ text });
    for (const auto& finding : reader.findings())
        RC_ASSERT(finding.message.find(apiKey) == std::string::npos);
}
