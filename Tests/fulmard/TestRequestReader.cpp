#include <Services/fulmard/RequestReader.h>

#include <gtest/gtest.h>

using namespace Fulmard;

namespace {

Transport::HttpRequest requestFrom(const std::string& peerAddress)
{
    Transport::HttpRequest request;
    request.method = "POST";
    request.authority = "commission-desk.example";
    request.target = "/accept/17";
    request.body = "cedar";
    request.peerAddress = peerAddress;
    return request;
}

Fingerprint fingerprintOfRead(const Transport::HttpRequest& request)
{
    return RequestReader(1, {}).read(request).fingerprint;
}

}

// A request that crashes backend servers comes again at other machines.
TEST(RequestIdentity, DoesNotDependOnTheMachineThatARequestComesFrom)
{
    EXPECT_EQ(fingerprintOfRead(requestFrom("10.0.0.1")), fingerprintOfRead(requestFrom("10.0.0.2")));
}

TEST(RequestIdentity, TellsAccountsThatAreNamedApart)
{
    auto first = requestFrom("10.0.0.1");
    first.headers = { { CallerHeader::account, "clerk-1" } };
    auto second = first;
    second.headers = { { CallerHeader::account, "clerk-2" } };
    EXPECT_NE(fingerprintOfRead(first), fingerprintOfRead(second));
    EXPECT_NE(fingerprintOfRead(first), fingerprintOfRead(requestFrom("10.0.0.1")));
}

// A caller with a key could otherwise send a request that crashes backend servers under a new account each time.
TEST(RequestIdentity, TheNamedAccountDoesNotCountBesideAKey)
{
    auto first = requestFrom("10.0.0.1");
    auto second = first;
    second.headers = { { CallerHeader::account, "clerk-2" } };
    EXPECT_EQ(RequestReader(1, {}).read(first, true).fingerprint, RequestReader(1, {}).read(second, true).fingerprint);
}

TEST(RequestIdentity, TellsDifferentRequestsApart)
{
    auto request = requestFrom("10.0.0.1");
    auto otherMethod = request;
    otherMethod.method = "PUT";
    auto otherTarget = request;
    otherTarget.target = "/accept/17?late";
    auto otherBody = request;
    otherBody.body = "oak";
    auto otherHost = request;
    otherHost.authority = "totem-archive.example";
    for (const auto& other : { otherMethod, otherTarget, otherBody, otherHost })
        EXPECT_NE(fingerprintOfRead(request), fingerprintOfRead(other));
}

TEST(RequestIdentity, KeepsTheAddressAsTheAccountOfAnUnnamedCaller)
{
    EXPECT_EQ(RequestReader(1, {}).read(requestFrom("10.0.0.1")).account, AccountId("10.0.0.1"));
}
