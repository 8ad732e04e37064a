#include <LibCheck/ConfigurationCheck.h>

#include <algorithm>
#include <gtest/gtest.h>

using namespace Check;

namespace {

// A configuration without findings but those about differences.
Configuration soundConfiguration()
{
    RouteTable table;
    table.version = Revision(3);
    table.services.push_back({ ServiceName("desk"), "/health", 10 });
    table.routes.push_back({ .name = "r", .host = "office.example", .pathPrefix = "/r/", .targets = { { ServiceName("desk"), 1 } }, .isIdempotent = true, .timeout = 1200ms, .latencyObjective = 600ms, .maximumAttempts = 2 });
    table.tenants.push_back({ .name = AccountId("amina"), .keyDigests = { std::string(64, 'a') }, .requestsPerSecond = 5, .burst = 5 });
    Profile profile;
    profile.name = ProfileName("office-desk");
    return { TableDocument { "routes.json", table }, { { "desk.yaml", profile } } };
}

class ConfigurationCheck : public testing::Test {
protected:
    RouteTable& table() { return configuration.table->table; }
    Route& route() { return table().routes[0]; }
    Tenant& tenant() { return table().tenants[0]; }

    // The identifiers and entries of the findings, as in "route-hidden route r".
    std::vector<std::string> found()
    {
        std::vector<std::string> texts;
        for (const auto& finding : checkConfiguration(configuration, terms, inForce))
            texts.push_back(std::string(nameOf(finding.id)) + (finding.entry.empty() ? "" : " ") + finding.entry);
        return texts;
    }

    using Texts = std::vector<std::string>;

    Configuration configuration = soundConfiguration();
    ProcessTerms terms { .largestRequestBytes = 70u << 20 };
    std::optional<InForce> inForce;
};

}

TEST_F(ConfigurationCheck, FindsNothingInASoundConfiguration)
{
    EXPECT_EQ(found(), Texts {});
}

// The checker of route tables compares hosts as they are written, but the index of routes doesn't.
TEST_F(ConfigurationCheck, FindsRoutesBehindOthers)
{
    table().routes.push_back(route());
    table().routes[1].name = "later";
    table().routes[1].host = "Office.example:443";
    table().routes.push_back(route());
    table().routes[2].pathPrefix = "/r/longer/";
    EXPECT_EQ(found(), Texts { "route-hidden route later" });
}

TEST_F(ConfigurationCheck, FindsPlacesThatNoRequestHas)
{
    route().pathPrefix = "/r?a=b/";
    table().routes.push_back(route());
    table().routes[1].host = "http://office.example";
    table().routes[1].pathPrefix = "/r/";
    EXPECT_EQ(found(), (Texts { "route-unmatchable route r", "route-unmatchable route r" }));
}

TEST_F(ConfigurationCheck, FindsServicesWithoutRoutes)
{
    table().services.push_back({ ServiceName("archive"), "", 1 });
    table().services.push_back({ ServiceName("tally"), "", 1 });
    route().targets.push_back({ ServiceName("archive"), 0 });
    EXPECT_EQ(found(), (Texts { "service-without-route service archive", "service-without-route service tally", "target-without-weight route r" }));
}

TEST_F(ConfigurationCheck, FindsTenantsThatCanSendNothing)
{
    tenant().keyDigests.clear();
    EXPECT_EQ(found(), Texts { "tenant-without-keys tenant amina" });
    route().isPublic = true;
    EXPECT_EQ(found(), Texts {});
}

TEST_F(ConfigurationCheck, FindsAttemptsThatDontFitIntoTheTimeout)
{
    route().timeout = 599ms;
    EXPECT_EQ(found(), Texts { "timeout-below-objective route r" });
    route().timeout = 1199ms;
    EXPECT_EQ(found(), Texts { "attempts-beyond-timeout route r" });
    route().timeout = 600ms;
    EXPECT_EQ(found(), Texts { "attempts-without-objective route r" });
    route().timeout = 99ms;
    route().latencyObjective = 10ms;
    EXPECT_EQ(found(), Texts { "attempts-beyond-timeout route r" });
    // Requests that may not repeat are sent again only after refusals, which take no time.
    route().isIdempotent = false;
    EXPECT_EQ(found(), Texts {});
}

TEST_F(ConfigurationCheck, FindsQuotasThatAdmitNothing)
{
    tenant().requestsPerSecond = 0.2;
    tenant().burst = 0;
    EXPECT_EQ(found(), Texts {});
    tenant().requestsPerSecond = 0.19;
    EXPECT_EQ(found(), Texts { "rate-admits-nothing tenant amina" });
    terms.tenants.quotaWindow = 10s;
    EXPECT_EQ(found(), Texts {});
    tenant().burst = 0.9;
    EXPECT_EQ(found(), Texts { "burst-admits-nothing tenant amina" });
    tenant().requestsPerSecond = 0;
    EXPECT_EQ(found(), Texts { "burst-without-rate tenant amina" });
}

TEST_F(ConfigurationCheck, FindsRetriesWithoutBudget)
{
    auto& retries = configuration.profiles[0].profile.retries;
    retries.budget = 0;
    retries.minimumPerSecond = 0;
    terms.defaultProfile = { "settings.yaml", configuration.profiles[0].profile };
    EXPECT_EQ(found(), (Texts { "retries-without-budget profile office-desk", "retries-without-budget default-profile" }));
    terms.defaultProfile->profile.retries.fleetExtra = 1;
    retries.budget = 0.1;
    EXPECT_EQ(found(), Texts {});
    retries.budget = 0;
    route().maximumAttempts = 1;
    EXPECT_EQ(found(), Texts {});
    configuration.table.reset();
    EXPECT_EQ(found(), Texts { "retries-without-budget profile office-desk" });
}

TEST_F(ConfigurationCheck, ComparesBodiesWithTheMemoryOfAProcess)
{
    auto& limits = table().limits;
    limits.bodyBytes = *terms.largestRequestBytes - limits.headerBytes;
    EXPECT_EQ(found(), Texts {});
    ++limits.bodyBytes;
    EXPECT_EQ(found(), Texts { "body-above-memory limits" });
    limits.bodyBytes = UINT64_MAX;
    EXPECT_EQ(found(), Texts { "body-above-memory limits" });
    terms.largestRequestBytes.reset();
    EXPECT_EQ(found(), Texts { "memory-unknown limits" });
}

// What can't be used is reported as refused already, and must not hide or reach anything.
TEST_F(ConfigurationCheck, LeavesOutWhatIsRefused)
{
    table().routes.push_back(route());
    route().targets[0].service = ServiceName("unknown");
    table().tenants.push_back({ .name = AccountId("bilal"), .problem = "priority is missing or no whole number in range" });
    EXPECT_EQ(found(), Texts { "service-without-route service desk" });
}

TEST_F(ConfigurationCheck, ListsDifferences)
{
    inForce = InForce { "127.0.0.1:8081", configuration };
    EXPECT_EQ(found(), (Texts { "no-difference", "no-difference profile office-desk" }));
    table().version = Revision(4);
    table().services.push_back({ ServiceName("archive"), "", 1 });
    route().pathPrefix = "/s/";
    route().targets[0].service = ServiceName("archive");
    route().isPublic = true;
    table().limits.bodyBytes = 5;
    tenant().keyDigests = { std::string(64, 'b') };
    tenant().priority = 1;
    configuration.profiles[0].profile.idempotency.rules.push_back({ Method::Post, "/x", true });
    EXPECT_EQ(found(), (Texts { "service-without-route service desk", "entry-added route office.example/s/", "entry-removed route office.example/r/", "entry-added service archive", "entry-changed tenant amina", "entry-changed tenant amina", "entry-changed limits", "entry-changed profile office-desk" }));
    auto findings = checkConfiguration(configuration, terms, inForce);
    EXPECT_NE(findings.back().message.find("path-prefix: /x"), std::string::npos) << findings.back().message;
    EXPECT_TRUE(std::ranges::none_of(findings, [](const Finding& finding) { return finding.message.find("bbbb") != std::string::npos; }));
}

// No process adopts a table whose version isn't higher, and the operator isn't told when publishing.
TEST_F(ConfigurationCheck, FindsVersionsThatNoProcessWouldAdopt)
{
    inForce = InForce { "old.json", configuration };
    route().priority = 9;
    EXPECT_EQ(found()[0], "version-not-newer version");
    table().version = Revision(4);
    EXPECT_EQ(found()[0], "entry-changed route office.example/r/");
    inForce->configuration = {};
    EXPECT_EQ(found(), (Texts { "nothing-in-force", "nothing-in-force profile office-desk" }));
}
