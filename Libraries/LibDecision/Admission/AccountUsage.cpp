#include <LibDecision/Admission/AccountUsage.h>

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    // The scaled counts are rebased after this many half-lives, far below the 1024 at which a double overflows.
    constexpr double halfLivesPerRebase = 256;

    // The finalizer of SplitMix64.
    uint64_t mix(uint64_t value)
    {
        value += 0x9e3779b97f4a7c15;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

    double halfLivesBetween(Instant from, Instant to)
    {
        return static_cast<double>((to - from).count()) / static_cast<double>(AccountUsage::halfLife.count());
    }

}

AccountUsage::AccountUsage()
    : m_cells(rows * columns)
{
}

double AccountUsage::estimate(const ServiceName& service, const AccountId& account, Instant now) const
{
    return lowest(cellsOf(service, account)) / growth(now);
}

void AccountUsage::charge(const ServiceName& service, const AccountId& account, Duration used, Instant now)
{
    if (halfLivesBetween(m_base, now) > halfLivesPerRebase)
        rebase(now);
    auto cells = cellsOf(service, account);
    auto raised = lowest(cells) + static_cast<double>(used.count()) * growth(now);
    for (auto cell : cells)
        m_cells[cell] = std::max(m_cells[cell], raised);
}

AccountUsage::CellIndexes AccountUsage::cellsOf(const ServiceName& service, const AccountId& account)
{
    auto hash = mix(std::hash<ServiceName> {}(service)) ^ std::hash<AccountId> {}(account);
    CellIndexes cells;
    for (size_t row = 0; row < rows; ++row) {
        hash = mix(hash);
        cells[row] = row * columns + hash % columns;
    }
    return cells;
}

double AccountUsage::lowest(const CellIndexes& cells) const
{
    auto value = m_cells[cells.front()];
    for (auto cell : cells)
        value = std::min(value, m_cells[cell]);
    return value;
}

double AccountUsage::growth(Instant now) const
{
    return std::exp2(halfLivesBetween(m_base, now));
}

void AccountUsage::rebase(Instant now)
{
    auto scale = 1 / growth(now);
    for (auto& cell : m_cells)
        cell *= scale;
    m_base = now;
}

}
