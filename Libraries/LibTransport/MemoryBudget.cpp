#include <LibTransport/MemoryBudget.h>

#include <algorithm>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace Transport {

// One part in this many is set apart for small reservations.
static constexpr uint64_t smallPart = 8;
static constexpr uint64_t largestProcessShare = 192u << 20;

MemoryBudget::MemoryBudget(uint64_t totalBytes)
    : m_total(totalBytes)
{
}

uint64_t MemoryBudget::addShedder(Shedder shedder)
{
    m_shedders.emplace(++m_lastShedder, std::move(shedder));
    return m_lastShedder;
}

bool MemoryBudget::fits(uint64_t bytes, uint64_t newBytes) const
{
    auto limit = newBytes <= smallReservation ? m_total : largestReservation(m_total);
    return m_held + (newBytes - bytes) <= limit;
}

bool MemoryBudget::makeRoom(uint64_t bytes, uint64_t newBytes)
{
    // What can't fit into an empty budget is no reason to close anybody, and closing one holder closes no other in turn.
    if (m_isShedding || newBytes > largestReservation(m_total))
        return fits(bytes, newBytes);
    m_isShedding = true;
    while (!fits(bytes, newBytes) && shedOne()) { }
    m_isShedding = false;
    return fits(bytes, newBytes);
}

bool MemoryBudget::shedOne()
{
    double highest = 0;
    const Shedder* chosen = nullptr;
    for (const auto& [id, shedder] : m_shedders) {
        auto score = shedder.highestScore();
        if (score > highest) {
            highest = score;
            chosen = &shedder;
        }
    }
    if (chosen)
        chosen->shed();
    return chosen != nullptr;
}

void MemoryBudget::add(MemoryKind kind, uint64_t bytes)
{
    m_held += bytes;
    m_heldByKind[static_cast<size_t>(kind)] += bytes;
}

void MemoryBudget::remove(MemoryKind kind, uint64_t bytes)
{
    m_held -= bytes;
    m_heldByKind[static_cast<size_t>(kind)] -= bytes;
}

Reservation::Reservation(std::shared_ptr<MemoryBudget> budget, MemoryKind kind)
    : m_budget(std::move(budget))
    , m_kind(kind)
{
}

Reservation::~Reservation() { force(0); }

bool Reservation::resize(uint64_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->fits(m_bytes, bytes) && !m_budget->makeRoom(m_bytes, bytes))
        return false;
    force(bytes);
    return true;
}

void Reservation::force(uint64_t bytes)
{
    auto before = std::exchange(m_bytes, bytes);
    if (!m_budget)
        return;
    m_budget->add(m_kind, bytes);
    m_budget->remove(m_kind, before);
}

void Reservation::setKind(MemoryKind kind)
{
    auto bytes = m_bytes;
    force(0);
    m_kind = kind;
    force(bytes);
}

std::shared_ptr<Reservation> reserveHeld(const std::shared_ptr<MemoryBudget>& budget, MemoryKind kind, uint64_t bytes)
{
    auto reservation = std::make_shared<Reservation>(budget, kind);
    reservation->force(bytes);
    return reservation;
}

std::shared_ptr<Reservation> tryReserve(const std::shared_ptr<MemoryBudget>& budget, MemoryKind kind, uint64_t bytes)
{
    auto reservation = std::make_shared<Reservation>(budget, kind);
    return reservation->resize(bytes) ? reservation : nullptr;
}

uint64_t largestReservation(uint64_t totalBytes) { return totalBytes - totalBytes / smallPart; }

uint64_t budgetOfMachine(uint64_t memoryBytes)
{
    return memoryBytes - std::min(memoryBytes / 2, largestProcessShare);
}

uint64_t systemMemoryBytes()
{
    auto bytes = static_cast<uint64_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
    // The text is "max" without a limit. https://docs.kernel.org/admin-guide/cgroup-v2.html
    std::ifstream file("/sys/fs/cgroup/memory.max");
    uint64_t limit = 0;
    return file >> limit ? std::min(bytes, limit) : bytes;
}

}
