#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Time.h>

#include <cstdint>
#include <string>

namespace Transport {

using namespace Model;

// What a server takes from one connection.
struct ServerLimits {
    // The library has a limit of its own below this.
    uint64_t headBytes { 512u << 10 };
    uint64_t bodyBytes { 1u << 20 };
    // From the first byte of a head until its end.
    Duration headTimeout { std::chrono::seconds(75) };
    // Longer than the idle timeout of our own clients, so that it is they who close idle connections.
    Duration idleTimeout { std::chrono::seconds(75) };
    // Without a byte of a body or of an answer moving. Longer than any cut of a client's machine from the network.
    Duration stallTimeout { std::chrono::seconds(45) };

    bool operator==(const ServerLimits&) const = default;
};

// What a connection does, as far as its server's memory and descriptors are concerned.
enum class ConnectionPhase {
    // Nothing of a request has arrived.
    Idle,
    // A head isn't whole.
    Head,
    // A body isn't whole.
    Body,
    // A whole request waits for its answer.
    Waiting,
    // An answer isn't sent whole.
    Writing,
};

// Why a server refused a request or ended a connection.
enum class ConnectionEndReason {
    HeadTooLong,
    HeadTimeout,
    IdleTimeout,
    BodyStalled,
    AnswerStalled,
    // A body didn't fit into the memory budget; it was refused and never run.
    MemoryRefused,
    // Closed to make room in the memory budget.
    MemoryShed,
    // Closed to make room for other connections.
    ConnectionShed,
};

// One line of the log.
struct ConnectionEnd {
    ConnectionEndReason reason;
    ConnectionPhase phase;
    // IP number of the peer.
    std::string address;
    // The account that the request names; empty if it names none, or its head wasn't read.
    std::string account;
    // Bytes that were held for the connection.
    uint64_t heldBytes { 0 };
};

}

template <>
struct Model::EnumNames<Transport::ConnectionPhase> {
    static constexpr std::array entries {
        EnumName { Transport::ConnectionPhase::Idle, "idle" },
        EnumName { Transport::ConnectionPhase::Head, "head" },
        EnumName { Transport::ConnectionPhase::Body, "body" },
        EnumName { Transport::ConnectionPhase::Waiting, "waiting" },
        EnumName { Transport::ConnectionPhase::Writing, "writing" },
    };
};

template <>
struct Model::EnumNames<Transport::ConnectionEndReason> {
    static constexpr std::array entries {
        EnumName { Transport::ConnectionEndReason::HeadTooLong, "head-too-long" },
        EnumName { Transport::ConnectionEndReason::HeadTimeout, "head-timeout" },
        EnumName { Transport::ConnectionEndReason::IdleTimeout, "idle-timeout" },
        EnumName { Transport::ConnectionEndReason::BodyStalled, "body-stalled" },
        EnumName { Transport::ConnectionEndReason::AnswerStalled, "answer-stalled" },
        EnumName { Transport::ConnectionEndReason::MemoryRefused, "memory-refused" },
        EnumName { Transport::ConnectionEndReason::MemoryShed, "memory-shed" },
        EnumName { Transport::ConnectionEndReason::ConnectionShed, "connection-shed" },
    };
};
