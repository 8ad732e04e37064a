#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Decision {

using namespace Model;

// A count that loses half of its value in each half-life.
class FadingCount {
public:
    static constexpr Duration halfLife = std::chrono::seconds(10);

    void add(Instant now);
    double value(Instant now) const;

private:
    double m_value { 0 };
    Instant m_at;
};

// Says whose turn it is among the accounts whose requests wait at one backend server: that of the account that was served
// least recently. An account whose requests are served far less often than all goes before any turn, since equal turns
// would starve accounts that usually send more than others.
class AccountTurns {
public:
    // An account goes first while the share of its requests that was served is below this fraction of the share of all. No
    // tenant may be served less than a quarter as often as all; the rest is for shares that change quickly.
    static constexpr double leastServedFraction = 0.4;
    // Below this count of requests, a share says too little.
    static constexpr double fewestRequests = 4;

    // Records that a request of the account wants to be served.
    void requested(const AccountId&, Instant now);
    // Records that a request of the account was served.
    void served(const AccountId&, Instant now);
    // The account with the lowest value goes first. The value rises when the account is served.
    uint64_t turnOf(const AccountId&, Instant now) const;

    // Number of accounts that are remembered.
    size_t size() const { return m_accounts.size(); }

private:
    struct Account {
        FadingCount requested;
        FadingCount served;
        uint64_t lastTurn { 0 };
    };

    // Accounts that sent less than this lately are forgotten, and count as never served.
    static constexpr double forgottenBelow = 0.1;
    static constexpr size_t smallestSweep = 64;

    void forgetQuietAccounts(Instant now);

    std::unordered_map<AccountId, Account> m_accounts;
    Account m_all;
    // Number of accounts at which quiet ones are looked for next.
    size_t m_sweepAt { smallestSweep };
};

}
