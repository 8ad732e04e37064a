#include <LibModel/Error.h>
#include <LibModel/Settings.h>

#include <gtest/gtest.h>

using namespace Model;

static const std::string validSettings = "instance: a-1\nzone: agadir\nregion: souss-massa\ncallers: 127.0.0.1:8080\ncontrol: 127.0.0.1:8081\n"
                                         "peers: [127.0.0.1:9081]\nplatform: [127.0.0.1:8500]\n"
                                         "fleet-key: 0123456789abcdef0123456789abcdef\noperator-key: fedcba9876543210fedcba9876543210\n";

TEST(Settings, ReadsAWholeFile)
{
    auto settings = parseSettings(validSettings, "s.yaml");
    EXPECT_EQ(settings.instance, InstanceId("a-1"));
    EXPECT_EQ(settings.control.port, 8081);
    EXPECT_EQ(settings.peers.size(), 1u);
}

TEST(Settings, RefusesUnknownKeysAndImpossibleValues)
{
    for (auto [extra, key] : { std::pair { "zome: x\n", "zome" }, std::pair { "limits: {request-body-bytes: 0}\n", "limits.request-body-bytes" },
             std::pair { "log: {level: loud}\n", "log.level" }, std::pair { "trace: {sampled-share: 2}\n", "trace.sampled-share" }, std::pair { "zone: b\n", "zone" } }) {
        try {
            parseSettings(validSettings + extra, "s.yaml");
            ADD_FAILURE() << "accepted: " << extra;
        } catch (const DocumentError& error) {
            EXPECT_EQ(error.key(), key);
            EXPECT_EQ(error.line(), 10);
        }
    }
}

TEST(Settings, ReadsTheTermsOfTenants)
{
    EXPECT_EQ(parseSettings(validSettings, "s.yaml").tenants, TenantTerms());
    auto settings = parseSettings(validSettings + "tenants: {strict-revocation: true, revocation-bound: 4s, quota-window: 2s, quota-overshoot: 0.2, quota-slack: 12}\nedge: {tenant: client}\n", "s.yaml");
    EXPECT_EQ(settings.tenants, (TenantTerms { true, 4s, 2s, 0.2, 12 }));
    EXPECT_EQ(settings.edge.tenant, "client");
    for (const auto* wrong : { "{strict-revocation: 2}", "{revocation-bound: 0s}", "{quota-window: 0s}", "{quota-overshoot: -1}", "{quota-slack: -1}" })
        EXPECT_THROW(parseSettings(validSettings + "tenants: " + wrong + "\n", "s.yaml"), DocumentError) << wrong;
}

TEST(Settings, RefusesMissingZonePortZeroAndDoubledPeers)
{
    auto replaced = [](const std::string& from, const std::string& to) {
        auto text = validSettings;
        return text.replace(text.find(from), from.size(), to);
    };
    EXPECT_THROW(parseSettings(replaced("zone: agadir\n", ""), "s.yaml"), DocumentError);
    EXPECT_THROW(parseSettings(replaced("127.0.0.1:8080", "127.0.0.1:0"), "s.yaml"), DocumentError);
    EXPECT_THROW(parseSettings(replaced("127.0.0.1:8081", "127.0.0.1:8080"), "s.yaml"), DocumentError);
    EXPECT_THROW(parseSettings(replaced("[127.0.0.1:9081]", "[127.0.0.1:9081, 127.0.0.1:9081]"), "s.yaml"), DocumentError);
    EXPECT_THROW(parseSettings(replaced("0123456789abcdef0123456789abcdef", "short"), "s.yaml"), DocumentError);
}
