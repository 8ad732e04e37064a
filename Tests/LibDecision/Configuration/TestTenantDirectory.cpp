#include <LibDecision/Configuration/TenantDirectory.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>

using namespace Decision;

namespace {

Tenant tenantOf(const std::string& name, std::vector<std::string> digests)
{
    return { AccountId(name), std::move(digests) };
}

}

// A key that finds another tenant runs on its account.
RC_GTEST_PROP(TenantDirectory, EveryKeyFindsItsTenantAndNoOtherTextFindsAny, ())
{
    std::map<std::string, AccountId> expected;
    RouteTable table;
    auto digests = *rc::gen::unique<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
    for (const auto& digest : digests) {
        if (table.tenants.empty() || *rc::gen::arbitrary<bool>())
            table.tenants.push_back(tenantOf("t" + std::to_string(table.tenants.size()), {}));
        table.tenants.back().keyDigests.push_back(digest);
        expected.emplace(digest, table.tenants.back().name);
    }
    TenantDirectory directory(table);
    RC_ASSERT(directory.hasTenants() == !digests.empty());
    for (const auto& [digest, name] : expected)
        RC_ASSERT(directory.find(digest).tenant->name == name);
    auto other = *rc::gen::arbitrary<std::string>();
    if (!expected.contains(other))
        RC_ASSERT(directory.find(other).refusal == Reason::UnknownKey);
}

// 401 tells the holder of a good key that it was revoked.
TEST(TenantDirectory, AKeyThatMayBelongToAMalformedTenantIsNotCalledUnknown)
{
    RouteTable table;
    table.tenants = { tenantOf("north", { "1" }), tenantOf("south", { "2" }) };
    table.tenants[1].problem = "has an impossible rate";
    TenantDirectory directory(table);
    EXPECT_NE(directory.find("1").tenant, nullptr);
    EXPECT_EQ(directory.find("2").refusal, Reason::TenantUnusable);
    EXPECT_EQ(directory.find("3").refusal, Reason::UnknownKey);
    table.tenants[1].hasUnreadKeys = true;
    directory = TenantDirectory(table);
    EXPECT_EQ(directory.find("3").refusal, Reason::TenantUnusable);
    EXPECT_EQ(directory.find("").refusal, Reason::UnknownKey);
}
