#pragma once

#include <LibModel/EnumNames.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Transport {

// What reserved bytes are held for.
enum class MemoryKind {
    // Heads and bodies of requests that are being read, and what the HTTP library keeps of them until they are answered.
    Arriving,
    // Requests that were read whole and aren't answered yet.
    Requests,
    // Answers that are being read, or wait to be written.
    Answers,
    // Answers that are being written.
    Unsent,
    // Answers that are kept to be given again.
    Kept,
};

}

template <>
struct Model::EnumNames<Transport::MemoryKind> {
    static constexpr std::array entries {
        EnumName { Transport::MemoryKind::Arriving, "arriving" },
        EnumName { Transport::MemoryKind::Requests, "requests" },
        EnumName { Transport::MemoryKind::Answers, "answers" },
        EnumName { Transport::MemoryKind::Unsent, "unsent" },
        EnumName { Transport::MemoryKind::Kept, "kept" },
    };
};

namespace Transport {

// Holders of up to this many bytes may use the part of the budget that is set apart for them.
constexpr uint64_t smallReservation = 64u << 10;

// The account of all bytes that a process holds for callers, peers and backend servers.
class MemoryBudget {
public:
    explicit MemoryBudget(uint64_t totalBytes);
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    uint64_t total() const { return m_total; }
    uint64_t held() const { return m_held; }
    uint64_t held(MemoryKind kind) const { return m_heldByKind[static_cast<size_t>(kind)]; }

    // A shedder gives the score of the holder that it would close first, 0 if it has none, and closes it on demand. When
    // a reservation doesn't fit, holders are closed in the order of their scores until it does.
    struct Shedder {
        std::function<double()> highestScore;
        std::function<void()> shed;
    };
    uint64_t addShedder(Shedder);
    void removeShedder(uint64_t id) { m_shedders.erase(id); }

private:
    friend class Reservation;

    bool fits(uint64_t bytes, uint64_t newBytes) const;
    bool makeRoom(uint64_t bytes, uint64_t newBytes);
    bool shedOne();
    void add(MemoryKind, uint64_t bytes);
    void remove(MemoryKind, uint64_t bytes);

    uint64_t m_total;
    uint64_t m_held { 0 };
    std::array<uint64_t, Model::EnumNames<MemoryKind>::entries.size()> m_heldByKind {};
    std::map<uint64_t, Shedder> m_shedders;
    uint64_t m_lastShedder { 0 };
    bool m_isShedding { false };
};

// Bytes that one holder has reserved. They are released with it. Without a budget everything is granted.
class Reservation {
public:
    Reservation(std::shared_ptr<MemoryBudget>, MemoryKind);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    uint64_t bytes() const { return m_bytes; }
    // Changes the size. Gives false, and changes nothing, if the budget has no room for it.
    bool resize(uint64_t bytes);
    // Changes the size whether there is room or not, for bytes that are held already.
    void force(uint64_t bytes);
    void setKind(MemoryKind);

private:
    std::shared_ptr<MemoryBudget> m_budget;
    MemoryKind m_kind;
    uint64_t m_bytes { 0 };
};

// Reserves bytes that are held already.
std::shared_ptr<Reservation> reserveHeld(const std::shared_ptr<MemoryBudget>&, MemoryKind, uint64_t bytes);

// Reserves bytes for a copy; gives nothing if there is no room.
std::shared_ptr<Reservation> tryReserve(const std::shared_ptr<MemoryBudget>&, MemoryKind, uint64_t bytes);

// The largest reservation that fits into an empty budget of this size.
uint64_t largestReservation(uint64_t totalBytes);

// The budget of a machine with this much memory. Half of the memory, 192 MB at most, is left to the process: 15 MB at its
// start, the 128 MB that control may cost it, and the allocator.
uint64_t budgetOfMachine(uint64_t memoryBytes);

// The memory that the system grants to this process, by its control group or the machine.
uint64_t systemMemoryBytes();

}
