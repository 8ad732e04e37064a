#include <LibModel/Error.h>
#include <LibModel/RouteTable.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Model;

namespace {

RouteTable tableOf(const std::vector<std::string>& prefixes)
{
    RouteTable table;
    table.version = Revision(1);
    table.services.push_back({ ServiceName("desk"), "/health", 10 });
    for (const auto& prefix : prefixes)
        table.routes.push_back({ "r" + prefix, "office.example", prefix, { { ServiceName("desk"), 1 } } });
    return table;
}

std::string foundBy(const RouteTable& table, const std::string& authority, const std::string& target)
{
    RouteIndex index(table);
    const auto* route = index.find(authority, target);
    return route ? route->pathPrefix : "none";
}

}

TEST(RouteTable, TheLongestPrefixOfTheHostWins)
{
    auto table = tableOf({ "/a/", "/a/b/", "/c/" });
    EXPECT_EQ(foundBy(table, "office.example", "/a/x"), "/a/");
    EXPECT_EQ(foundBy(table, "office.example", "/a/b/x/y"), "/a/b/");
    EXPECT_EQ(foundBy(table, "office.example", "/a/b/"), "/a/b/");
    EXPECT_EQ(foundBy(table, "office.example", "/a/b"), "/a/");
    EXPECT_EQ(foundBy(table, "office.example", "/a"), "none");
    EXPECT_EQ(foundBy(table, "OFFICE.example:8080", "/c/?next=/a/b/"), "/c/");
    EXPECT_EQ(foundBy(table, "other.example", "/a/x"), "none");
    EXPECT_EQ(foundBy(table, "office.example", ""), "none");
}

RC_GTEST_PROP(RouteTable, FindsWhatASearchThroughAllPrefixesFinds, ())
{
    auto segment = rc::gen::element<std::string>("a", "b", "ab");
    auto path = rc::gen::map(rc::gen::container<std::vector<std::string>>(segment), [](const std::vector<std::string>& parts) {
        std::string text = "/";
        for (const auto& part : parts)
            text += part + "/";
        return text;
    });
    auto prefixes = *rc::gen::unique<std::vector<std::string>>(path);
    auto target = *path + *rc::gen::element<std::string>("", "a", "ab?x=/b/");
    auto table = tableOf(prefixes);
    auto targetPath = target.substr(0, target.find('?'));
    std::string expected = "none";
    size_t longest = 0;
    for (const auto& prefix : prefixes) {
        if (targetPath.starts_with(prefix) && prefix.size() > longest) {
            longest = prefix.size();
            expected = prefix;
        }
    }
    RC_ASSERT(foundBy(table, "office.example", target) == expected);
}

TEST(RouteTable, RefusesWhatCannotBeUsed)
{
    auto refuses = [](auto change) {
        auto table = tableOf({ "/a/", "/b/" });
        change(table);
        EXPECT_THROW(checkRouteTable(table, "test"), Error);
    };
    EXPECT_NO_THROW(checkRouteTable(tableOf({ "/a/" }), "test"));
    refuses([](RouteTable& table) { table.version = {}; });
    refuses([](RouteTable& table) { table.routes[0].pathPrefix = "/a"; });
    refuses([](RouteTable& table) { table.routes[0].host.clear(); });
    refuses([](RouteTable& table) { table.routes[1].pathPrefix = "/a/"; });
    refuses([](RouteTable& table) { table.routes[0].targets.clear(); });
    refuses([](RouteTable& table) { table.routes[0].targets[0].service = ServiceName("unknown"); });
    refuses([](RouteTable& table) { table.routes[0].targets[0].weight = 0; });
    refuses([](RouteTable& table) { table.routes[0].timeout = 0s; });
    refuses([](RouteTable& table) { table.routes[0].maximumAttempts = 0; });
    refuses([](RouteTable& table) { table.services.push_back(table.services[0]); });
    refuses([](RouteTable& table) { table.services[0].maximumConnections = 0; });
    refuses([](RouteTable& table) { table.tenants = { Tenant { AccountId("a"), { "1" } }, Tenant { AccountId("b"), { "1" } } }; });
    refuses([](RouteTable& table) { table.tenants = { Tenant { AccountId("a"), { "1" } }, Tenant { AccountId("a"), { "2" } } }; });
    refuses([](RouteTable& table) { table.tenants = { Tenant { .name = AccountId("a"), .requestsPerSecond = -1 } }; });
    refuses([](RouteTable& table) { table.tenants = { Tenant { .name = AccountId("a"), .burst = -1 } }; });
    refuses([](RouteTable& table) { table.tenants = { Tenant { .name = AccountId("a\r\nb") } }; });
}

// A table with isolated problems is exchanged between processes, which check it again.
RC_GTEST_PROP(RouteTable, AnyTableIsAcceptedOnceItsProblemsAreIsolated, ())
{
    RouteTable table = tableOf({ "/a/" });
    auto digest = rc::gen::element<std::string>("1", "2", "3", "4");
    auto name = rc::gen::element<std::string>("", "a", "b", " c", "d\n");
    auto count = *rc::gen::inRange(0, 6);
    for (int index = 0; index < count; ++index) {
        table.tenants.push_back({ AccountId(*name), *rc::gen::container<std::vector<std::string>>(digest), 0, *rc::gen::element(-1.0, 0.0, 2.0) });
        table.routes.push_back({ "r", *rc::gen::element<std::string>("", "office.example"), *rc::gen::element<std::string>("/a/", "/b/", "b"), { { ServiceName(*name), 1 } } });
        table.services.push_back({ ServiceName(*name), "/health", *rc::gen::element(0u, 10u) });
    }
    isolateProblems(table);
    checkRouteTable(table, "test");
    RC_ASSERT(table.omissions.size() <= 100u);
}
