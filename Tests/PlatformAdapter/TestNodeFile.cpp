#include <LibModel/Error.h>
#include <platform/NodeFile.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Model;
using namespace PlatformAdapter;

static const std::string valid = "node=sidecar-1\nzone=agadir\nregion=souss-massa\nlisten.inbound=10.1.0.38:8146\n"
                                 "listen.outbound=10.1.0.38:8147\nlisten.ready=10.1.0.38:8141\nlisten.control=10.1.0.38:8144\n"
                                 "heartbeatMs=1500\nbounds=drainMs=2500,retryBudgetRatio=0.25,retryBudgetExtra=56,graceS=6,new=x\n"
                                 "appAddr=10.1.0.38:8145\nservice=huvo11a\nplatform.address=10.200.1.7:8142\nseeds=\nsomething.new=1\n";

TEST(NodeFile, ReadsWhatTheProcessNeedsAndIgnoresTheRest)
{
    auto settings = readNodeFile(valid, "settings.conf");
    EXPECT_EQ(settings.instance, InstanceId("sidecar-1"));
    EXPECT_EQ(settings.callers.port, 8147);
    EXPECT_EQ(settings.control.port, 8146);
    EXPECT_EQ(settings.announcements->port, 8144);
    EXPECT_EQ(settings.readiness->port, 8141);
    EXPECT_EQ(settings.service, ServiceName("huvo11a"));
    EXPECT_EQ(settings.platformApi, PlatformApi::RevisionStore);
    EXPECT_EQ(settings.routing, RoutingMode::RouteTable);
    EXPECT_DOUBLE_EQ(settings.defaultProfile.health.floor, 1);
    EXPECT_DOUBLE_EQ(settings.defaultProfile.retries.budget, 0.25);
    EXPECT_EQ(settings.defaultProfile.lifecycle.drainBound, 2500ms);
    EXPECT_EQ(settings.defaultProfile.retries.fleetExtra, 56);
    EXPECT_LT(settings.leaveTimeout, 6s);
}

TEST(NodeFile, DerivesTheAccountOfBytesFromTheMachinesMemory)
{
    EXPECT_EQ(readNodeFile(valid, "settings.conf").limits.memoryBytes, 0u);
    auto settings = readNodeFile(valid + "limits.memoryMb=160\nlimits.maxFds=4100\n", "settings.conf");
    EXPECT_EQ(settings.limits.memoryBytes, 80u << 20);
    EXPECT_EQ(settings.limits.descriptors, 4100u);
}

TEST(NodeFile, NamesFileLineAndFieldOfWhatIsMissingOrImpossible)
{
    auto expectError = [](const std::string& text, const std::string& key, int line) {
        try {
            readNodeFile(text, "settings.conf");
            ADD_FAILURE() << key;
        } catch (const DocumentError& error) {
            EXPECT_EQ(error.file(), "settings.conf");
            EXPECT_EQ(error.key(), key);
            EXPECT_EQ(error.line(), line);
        }
    };
    auto replaced = [](const std::string& from, const std::string& to) {
        auto text = valid;
        return text.replace(text.find(from), from.size(), to);
    };
    expectError(replaced("zone=agadir\n", ""), "zone", 0);
    expectError(replaced("10.1.0.38:8147", "nowhere"), "listen.outbound", 5);
    expectError(replaced("retryBudgetRatio=0.25", "retryBudgetRatio=2"), "bounds.retryBudgetRatio", 9);
    expectError(replaced("heartbeatMs=1500", "heartbeatMs=-1"), "heartbeatMs", 8);
}

// The bounds of tenants aren't all numbers; a wrong one must not be taken for "off".
TEST(NodeFile, ReadsTheBoundsOfTenants)
{
    EXPECT_EQ(readNodeFile(valid, "settings.conf").tenants, TenantTerms());
    auto withBounds = [](const std::string& bounds) { return readNodeFile(valid + "bounds=" + bounds + "\n", "settings.conf").tenants; };
    auto terms = withBounds("strictRevocation=true,revokeMs=4000.5,quotaWindowS=2.5,quotaOvershoot=0.2,quotaSlack=12");
    EXPECT_EQ(terms, (TenantTerms { true, 4000500us, 2500ms, 0.2, 12 }));
    EXPECT_FALSE(withBounds("strictRevocation=false").hasStrictRevocation);
    for (const auto* bad : { "strictRevocation=yes", "strictRevocation=1", "revokeMs=0", "revokeMs=soon", "quotaWindowS=0", "quotaOvershoot=-1", "quotaSlack=-1" })
        EXPECT_THROW(withBounds(bad), DocumentError) << bad;
}

// The platform scales its figures with the size of a deployment, so that any of them may have a fraction.
TEST(NodeFile, ReadsEveryNumberWithAFraction)
{
    auto text = valid + "heartbeatMs=1500.5\n"
                        "bounds=drainMs=2500.25,retryBudgetRatio=0.25,retryBudgetExtra=25.2,budgetWindowS=10.5,graceS=6.5\n";
    auto settings = readNodeFile(text, "settings.conf");
    const auto& profile = settings.defaultProfile;
    EXPECT_EQ(profile.lifecycle.drainBound, 2500250us);
    EXPECT_EQ(profile.lifecycle.announcementLapse, 9003ms);
    EXPECT_DOUBLE_EQ(profile.retries.fleetExtra, 25.2);
    EXPECT_EQ(profile.retries.window, 10500ms);
    EXPECT_EQ(settings.leaveTimeout, 6s);
}

RC_GTEST_PROP(NodeFile, NoTextCrashesTheReader, (const std::string& text))
{
    try {
        readNodeFile(valid + text, "settings.conf");
    } catch (const DocumentError&) {
        RC_SUCCEED("refused");
    }
}

// Guards against strict revocation that is asked for and not in force.
TEST(NodeFile, StrictRevocationIsReadFromTheBounds)
{
    EXPECT_FALSE(readNodeFile(valid, "settings.conf").tenants.hasStrictRevocation);
    auto terms = readNodeFile(valid + "bounds=strictRevocation=true,revokeMs=4000\n", "settings.conf").tenants;
    EXPECT_TRUE(terms.hasStrictRevocation);
    EXPECT_EQ(terms.revocationBound, 4s);
    EXPECT_THROW(readNodeFile(valid + "bounds=strictRevocation=yes\n", "settings.conf"), DocumentError);
}
