#pragma once

#include <LibModel/RouteTable.h>
#include <LibModel/StrongTypes.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// The operations that the core requests from the platform's key-value store, and their replies.
namespace Decision {

using namespace Model;

// Identifies an operation; its reply carries the same tag.
using PlatformTag = StrongNumber<struct PlatformTagTag>;
// Version of one key in the store; 0 means that the key doesn't exist.
using PlatformVersion = StrongNumber<struct PlatformVersionTag>;
// Identifies a lease that the platform granted.
using PlatformLease = StrongString<struct PlatformLeaseTag>;

struct KeyValue {
    std::string key;
    std::string value;
    PlatformVersion version;
    // The lease that the key is bound to; empty if there is none.
    PlatformLease lease;

    bool operator==(const KeyValue&) const = default;
};

// Reads every key that begins with the prefix.
struct ReadPrefix {
    std::string prefix;
};

// Waits until a key that begins with the prefix changes after the index, or until the wait ends. Then returns every key
// that begins with the prefix.
struct WatchPrefix {
    std::string prefix;
    // Index of an earlier reply; 0 returns the current state immediately.
    uint64_t index { 0 };
    Duration wait { std::chrono::seconds(55) };
};

// Key under which operators publish the route table in a Consul-compatible store. Other stores have keys of their own.
constexpr std::string_view routesKey = "routes/table";

// Waits until the route table changes after the index, or until the wait ends. Then returns the table if it changed.
struct WatchRoutes {
    // Index of an earlier reply; 0 returns the current state immediately.
    uint64_t index { 0 };
    Duration wait { std::chrono::seconds(25) };
};

// Returns the route table if it changed after the index. Unlike WatchRoutes it never waits, and its reply is linearizable:
// it covers every table that the store confirmed before the operation was sent.
struct ConfirmRoutes {
    // Index of an earlier reply to this operation; 0 returns the current table.
    uint64_t index { 0 };
};

// Writes the value if the key's version is the expected one.
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

// Writes the value and binds the key to the lease, unless the key is bound to another lease. When the lease ends, the
// key is unbound but keeps its value.
struct AcquireKey {
    std::string key;
    std::string value;
    PlatformLease lease;
};

// Writes the value and unbinds the key from the lease.
struct ReleaseKey {
    std::string key;
    std::string value;
    PlatformLease lease;
};

using PlatformOperation = std::variant<ReadPrefix, WatchPrefix, WatchRoutes, ConfirmRoutes, CompareAndSwap, GrantLease, RenewLease, RevokeLease, AcquireKey, ReleaseKey>;

enum class PlatformStatus {
    Done,
    // The platform refused the operation: nothing changed.
    Refused,
    // No answer arrived: the operation may have taken effect.
    NoAnswer,
};

struct PlatformReply {
    PlatformTag tag;
    PlatformStatus status { PlatformStatus::NoAnswer };
    std::vector<KeyValue> values;
    // Index to pass to the next WatchPrefix, WatchRoutes or ConfirmRoutes.
    uint64_t index { 0 };
    PlatformLease lease;
    // Rises each time that the store comes back from a copy and has lost what was written since; 0 if it doesn't tell.
    uint64_t era { 0 };
    // Result of WatchRoutes or ConfirmRoutes; null if the table hasn't changed or none was published.
    std::shared_ptr<const RouteTable> routes;
    // Why there is no usable answer, or why the published route table is invalid; empty if there is no problem.
    std::string problem;
};

}
