#include "Load/LedgerCheck.h"

#include <gtest/gtest.h>

using namespace Load;

namespace {

RequestRecord sentOnce(RequestKind kind, SendRecord send)
{
    return { "load-1", kind, { std::move(send) } };
}

SendRecord answered()
{
    return { Told::Answered, "", 200, {}, "fleet-1", true, true };
}

Violations check(const RequestRecord& request, uint32_t runs)
{
    Ledger ledger;
    if (runs > 0) {
        ledger.runsByLoadId["load-1"] = runs;
        ledger.runsByFleetId["fleet-1"] = runs;
    }
    return checkLedger({ request }, ledger, {});
}

}

TEST(LedgerCheck, FindsEachViolation)
{
    EXPECT_EQ(check(sentOnce(RequestKind::Booking, answered()), 1).count(), 0u);
    EXPECT_EQ(check(sentOnce(RequestKind::Booking, answered()), 2).doubled.size(), 1u);
    EXPECT_EQ(check(sentOnce(RequestKind::Lookup, answered()), 2).count(), 0u);
    EXPECT_EQ(check(sentOnce(RequestKind::Lookup, answered()), 0).falselyTold.size(), 1u);

    auto crossed = answered();
    crossed.isOwnAnswer = false;
    EXPECT_EQ(check(sentOnce(RequestKind::Lookup, crossed), 1).crossed.size(), 1u);
    auto cut = answered();
    cut.isWholeAnswer = false;
    EXPECT_EQ(check(sentOnce(RequestKind::Lookup, cut), 1).cut.size(), 1u);
    auto notRun = answered();
    notRun.told = Told::NotRun;
    EXPECT_EQ(check(sentOnce(RequestKind::Booking, notRun), 1).falselyTold.size(), 1u);
    EXPECT_EQ(check(sentOnce(RequestKind::Booking, notRun), 0).count(), 0u);
}

namespace {

constexpr Instant start { 10s };
constexpr auto bound = 5s;

TenantHistory historyOf(std::vector<KeyHolding> holdings)
{
    TenantHistory history;
    history.holdingsByKey["key"] = std::move(holdings);
    history.revocationBound = bound;
    history.quotaWindow = 5s;
    return history;
}

// A run of a send at the instant, told to backend servers as of the tenant.
Violations runAs(const std::string& tenant, const std::string& key, Instant sentAt, const TenantHistory& history)
{
    auto send = answered();
    send.sendId = "send-1";
    send.key = key;
    send.sentAt = sentAt;
    Ledger ledger;
    ledger.runsByLoadId["load-1"] = 1;
    ledger.runsBySend["send-1"][tenant] = 1;
    return checkLedger({ sentOnce(RequestKind::Lookup, send) }, ledger, history);
}

}

// The ledgers guard against a key that reaches a backend server, and against a promise broken by status alone.
TEST(LedgerCheck, FindsLeaksUploadsAndBrokenStatuses)
{
    Ledger leaky;
    leaky.leaks = { "/book/1" };
    EXPECT_EQ(checkLedger({}, leaky, {}).leaked.size(), 1u);
    EXPECT_EQ(check(sentOnce(RequestKind::Upload, answered()), 2).doubled.size(), 1u);
    for (uint16_t status : { 429, 503 }) {
        auto refused = answered();
        refused.told = Told::Nothing;
        refused.status = status;
        EXPECT_EQ(check(sentOnce(RequestKind::Booking, refused), 1).falselyTold.size(), 1u);
        EXPECT_EQ(check(sentOnce(RequestKind::Booking, refused), 0).count(), 0u);
        refused.fleetRequestId.clear();
        refused.sendId = "send-1";
        Ledger ledger;
        ledger.runsBySend["send-1"][""] = 1;
        EXPECT_EQ(checkLedger({ sentOnce(RequestKind::Booking, refused) }, ledger, {}).falselyTold.size(), 1u);
    }
}

TEST(LedgerCheck, FindsRunsUnderAnotherName)
{
    auto history = historyOf({ { "north", start } });
    EXPECT_EQ(runAs("north", "key", start, history).count(), 0u);
    EXPECT_EQ(runAs("south", "key", start, history).misnamed.size(), 1u);
    EXPECT_EQ(runAs("", "key", start, history).misnamed.size(), 1u);
    EXPECT_EQ(runAs("north", "strange", start, history).misnamed.size(), 1u);
    EXPECT_EQ(runAs("north", "key", start - 1s, history).misnamed.size(), 1u);
    EXPECT_EQ(runAs("", "", start, history).count(), 0u);
    EXPECT_EQ(runAs("north", "", start, history).misnamed.size(), 1u);
}

TEST(LedgerCheck, FindsRunsAfterTheRevocationBound)
{
    auto removed = historyOf({ { "north", start, start + 1s } });
    EXPECT_EQ(runAs("north", "key", start + 1s + bound, removed).count(), 0u);
    EXPECT_EQ(runAs("north", "key", start + 1s + bound + 1us, removed).revoked.size(), 1u);
    // Moved to another tenant, a key may no longer run under the first one's name.
    auto moved = historyOf({ { "north", start, start + 1s }, { "south", start + 1s } });
    EXPECT_EQ(runAs("south", "key", start + 7s, moved).count(), 0u);
    EXPECT_EQ(runAs("north", "key", start + 7s, moved).revoked.size(), 1u);
}

// An idempotency key counts within one account only, so a moved API key makes two requests of one.
TEST(LedgerCheck, FindsKeyedBookingsThatRanTwiceForOneTenant)
{
    auto runsFor = [](const std::string& first, const std::string& second, uint32_t runs) {
        RequestRecord request { "load-1", RequestKind::KeyedBooking, { answered(), answered() } };
        request.sends[0].sendId = "send-1";
        request.sends[1].sendId = "send-2";
        Ledger ledger;
        ledger.runsByLoadId["load-1"] = runs;
        ledger.runsBySend["send-1"][first] = 1;
        ledger.runsBySend["send-2"][second] = 1;
        return checkLedger({ request }, ledger, {}).doubled.size();
    };
    EXPECT_EQ(runsFor("north", "north", 2), 1u);
    EXPECT_EQ(runsFor("north", "south", 2), 0u);
    EXPECT_EQ(runsFor("north", "south", 3), 1u);
    EXPECT_EQ(check(sentOnce(RequestKind::KeyedBooking, answered()), 2).doubled.size(), 1u);
}

TEST(LedgerCheck, FindsWindowsAboveAQuota)
{
    TenantHistory history = historyOf({ { "north", start } });
    history.quotas["north"] = { 10, 5 };
    constexpr int allowed = 80; // (10 x 5 + 5) x 1.1 + 20 is 80.5.
    auto violationsOf = [&](int runs, Duration span) {
        std::vector<RequestRecord> requests;
        Ledger ledger;
        for (int run = 0; run < runs; ++run) {
            auto send = answered();
            send.sendId = std::to_string(run);
            send.key = "key";
            send.sentAt = start + span * run / runs;
            ledger.runsBySend[send.sendId]["north"] = 1;
            ledger.runsByLoadId["load-1"] = 1;
            requests.push_back(sentOnce(RequestKind::Lookup, send));
        }
        return checkLedger(requests, ledger, history);
    };
    EXPECT_EQ(violationsOf(allowed, 4s).count(), 0u);
    EXPECT_EQ(violationsOf(allowed + 1, 4s).overQuota.size(), 1u);
    EXPECT_EQ(violationsOf(allowed + 1, 6s).count(), 0u);
}
