#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Model {

enum class Method {
    Get,
    Head,
    Options,
    Put,
    Delete,
    Post,
    Patch,
    Other,
};

template <>
struct EnumNames<Method> {
    static constexpr std::array entries {
        EnumName { Method::Get, "GET" },
        EnumName { Method::Head, "HEAD" },
        EnumName { Method::Options, "OPTIONS" },
        EnumName { Method::Put, "PUT" },
        EnumName { Method::Delete, "DELETE" },
        EnumName { Method::Post, "POST" },
        EnumName { Method::Patch, "PATCH" },
        EnumName { Method::Other, "OTHER" },
    };
};

// A 128-bit hash of a request's service, account, method, target and body. Zero means no fingerprint.
struct Fingerprint {
    uint64_t high { 0 };
    uint64_t low { 0 };

    auto operator<=>(const Fingerprint&) const = default;
};

// What the decisions need to know of a caller's request. Headers and body stay in the shell.
struct RequestInfo {
    RequestId id;
    ServiceName service;
    Method method { Method::Get };
    // Path without query.
    std::string path;
    AccountId account;
    std::optional<IdempotencyKey> key;
    // The running request that makes this one as a call of its own; nothing if a caller sent it.
    std::optional<RequestId> parent;
    // What is left of the caller's deadline; nothing if the caller gave none.
    std::optional<Duration> remaining;
    Fingerprint fingerprint;

    bool operator==(const RequestInfo&) const = default;
};

}

template <>
struct std::hash<Model::Fingerprint> {
    size_t operator()(const Model::Fingerprint& fingerprint) const noexcept { return fingerprint.low; }
};
