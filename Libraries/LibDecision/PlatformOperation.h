#pragma once

#include <LibModel/RouteTable.h>
#include <LibModel/StrongTypes.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// What the core asks of the platform's key-value service, and what comes back.
namespace Decision {

using namespace Model;

// Matches a reply to its operation.
using PlatformTag = StrongNumber<struct PlatformTagTag>;
// Version of one key at the platform; 0 means that the key doesn't exist.
using PlatformVersion = StrongNumber<struct PlatformVersionTag>;
// A lease that the platform granted.
using PlatformLease = StrongString<struct PlatformLeaseTag>;

struct KeyValue {
    std::string key;
    std::string value;
    PlatformVersion version;
    // The lease that holds the key; empty if none does.
    PlatformLease lease;

    bool operator==(const KeyValue&) const = default;
};

// Reads every key that begins with the prefix.
struct ReadPrefix {
    std::string prefix;
};

// Waits until something below the prefix changes from the index, or the wait ends; then gives every key below it.
struct WatchPrefix {
    std::string prefix;
    // Index of an earlier reply; 0 gives an answer at once.
    uint64_t index { 0 };
    Duration wait { std::chrono::seconds(55) };
};

// Where operators publish the route table, if the store is the product's own.
constexpr std::string_view routesKey = "routes/table";

// Waits until the route table changes from the index, or the wait ends; then gives it if it changed.
struct WatchRoutes {
    // Index of an earlier reply; 0 gives an answer at once.
    uint64_t index { 0 };
    Duration wait { std::chrono::seconds(25) };
};

// Writes if the key's version is still the expected one.
struct CompareAndSwap {
    std::string key;
    std::string value;
    PlatformVersion expected;
};

struct GrantLease {
    Duration timeToLive { 0 };
    std::string name;
};

struct RenewLease {
    PlatformLease lease;
};

struct RevokeLease {
    PlatformLease lease;
};

// Writes and binds the key to the lease if no lease holds it. When the lease ends, so does the key's hold, not its value.
struct AcquireKey {
    std::string key;
    std::string value;
    PlatformLease lease;
};

// Gives up the hold and leaves the value.
struct ReleaseKey {
    std::string key;
    std::string value;
    PlatformLease lease;
};

using PlatformOperation = std::variant<ReadPrefix, WatchPrefix, WatchRoutes, CompareAndSwap, GrantLease, RenewLease, RevokeLease, AcquireKey, ReleaseKey>;

enum class PlatformStatus {
    Done,
    // The compare-and-swap, renewal or acquisition was refused: nothing changed.
    Refused,
    // No answer came: the operation may have taken effect.
    NoAnswer,
};

struct PlatformReply {
    PlatformTag tag;
    PlatformStatus status { PlatformStatus::NoAnswer };
    std::vector<KeyValue> values;
    // For the next WatchPrefix or WatchRoutes.
    uint64_t index { 0 };
    PlatformLease lease;
    // What WatchRoutes brought; empty if nothing is new or nothing was published.
    std::shared_ptr<const RouteTable> routes;
    // Why no usable answer came, or why the route table that was published can't be used; empty if nothing is wrong.
    std::string problem;
};

}
