#include <LibControl/JsonText.h>
#include <LibControl/OperatorSignature.h>
#include <LibControl/RouteTableCodec.h>
#include <Tests/fulmard/DaemonTest.h>

#include <chrono>

namespace {

class RoutesInForce : public Testing::DaemonTest {
protected:
    Transport::HttpResponse call(const std::string& operatorKey)
    {
        using namespace std::chrono;
        auto now = duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
        Control::Signer signer(operatorKey);
        auto signature = Control::signOperatorCall(signer, { "GET", "/v1/routes", "" }, now, ++m_nonce);
        return exchange(m_daemon->controlEndpoint(), { "GET", "", "/v1/routes", { { "fulmar-operator", signature } }, "" });
    }

    // That of the platform's settings files.
    const std::string m_operatorKey { "fulmarsail operators without a secret" };
    uint64_t m_nonce { 0 };
};

}

// `fulmarctl check` compares with this answer; it must be the table itself, also with tenants.
TEST_F(RoutesInForce, OperatorsGetTheTableInForce)
{
    start(R"({"version":7,"routes":[],"services":[{"name":"desk","maxConnections":5}],"tenants":[{"name":"amina","apiKeys":["secret-key"]}]})");
    ASSERT_TRUE(runUntil([&] { return state().routes().table() != nullptr; }));
    auto json = Control::parseJson(call(m_operatorKey).body);
    EXPECT_EQ(Control::decodeRouteTable(Control::formatJson(json["table"])), *state().routes().table());
    EXPECT_GT(json["memoryBytes"].asUInt64(), 0u);
    EXPECT_EQ(call(std::string(32, 'x')).status, 401);
}

TEST_F(RoutesInForce, ThereMayBeNone)
{
    start("{}");
    EXPECT_TRUE(Control::parseJson(call(m_operatorKey).body)["table"].isNull());
}
