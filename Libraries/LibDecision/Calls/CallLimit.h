#pragma once

#include <LibModel/Identifiers.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Decision {

using namespace Model;

// Limits the calls that a process handles concurrently. An account may hold at most as many places as are still free,
// so that an account without calls is admitted however many calls the other accounts have.
class CallLimit {
public:
    explicit CallLimit(uint32_t maximum);

    // Takes a place for the account. Returns false if the account has reached its limit.
    bool acquire(const AccountId&);
    void release(const AccountId&);

    size_t held() const { return m_held; }

private:
    uint32_t m_maximum;
    size_t m_held { 0 };
    // Contains only accounts that hold a place.
    std::unordered_map<AccountId, uint32_t> m_heldByAccount;
};

}
