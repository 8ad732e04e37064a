#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Decision {

using namespace Model;

// Estimates how much backend server time each account used recently, with a count-min sketch with conservative update
// whose counts decay exponentially. Memory use doesn't depend on the number of accounts. Hash collisions can make an
// estimate too high but never too low.
class AccountUsage {
public:
    // Half-life of the exponential decay.
    static constexpr Duration halfLife = 10s;

    AccountUsage();

    // Returns the account's decayed usage of the service's backend servers in microseconds.
    double estimate(const ServiceName&, const AccountId&, Instant now) const;
    void charge(const ServiceName&, const AccountId&, Duration used, Instant now);

    size_t memoryBytes() const { return m_cells.capacity() * sizeof(double); }

private:
    static constexpr size_t rows = 4;
    static constexpr size_t columns = 4096;

    using CellIndexes = std::array<size_t, rows>;

    static CellIndexes cellsOf(const ServiceName&, const AccountId&);
    double lowest(const CellIndexes&) const;
    double growth(Instant now) const;
    void rebase(Instant now);

    // Instead of decaying every cell, each charge is scaled up by 2 to the power of the half-lives since m_base.
    std::vector<double> m_cells;
    Instant m_base;
};

}
