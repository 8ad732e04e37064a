#pragma once

#include <LibDecision/Message.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Decision {

enum class RecordKind {
    Member,
    Backend,
    Health,
    Crash,
    Claim,
    Profile,
};

// Identifies the subject of a rumor. Of two rumors with the same key, the newer supersedes the older.
struct RecordKey {
    RecordKind kind { RecordKind::Member };
    std::string name;

    auto operator<=>(const RecordKey&) const = default;
};

RecordKey keyOf(const Rumor&);

// A hash of the key that is the same in every process.
uint64_t stableHash(const RecordKey&);

// A hash of the record's content that is the same in every process.
uint64_t contentHash(const Rumor&);

// True for the final record of a subject: that of a dead member or of a backend server that is gone.
bool isTombstone(const Rumor&);

// True for the kinds of records that anti-entropy reconciles. Health and crash reports are outdated too soon for that.
bool isReconciled(const Rumor&);

}

template <>
struct std::hash<Decision::RecordKey> {
    size_t operator()(const Decision::RecordKey& key) const noexcept { return std::hash<std::string> {}(key.name) + static_cast<size_t>(key.kind); }
};
