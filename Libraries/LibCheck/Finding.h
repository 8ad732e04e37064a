#pragma once

#include <LibModel/EnumNames.h>

#include <array>
#include <string>
#include <vector>

namespace Check {

enum class Severity {
    Note,
    Warning,
    Error,
};

// What a finding is about. The names are stable: programs that read the findings rely on them.
enum class FindingId {
    DocumentMalformed,
    ProfileRefused,
    ProfileTwice,
    TableTwice,
    EntryRefused,
    VersionNotNewer,
    RouteHidden,
    RouteUnmatchable,
    ServiceWithoutRoute,
    TenantWithoutKeys,
    TimeoutBelowObjective,
    AttemptsBeyondTimeout,
    RateAdmitsNothing,
    BurstAdmitsNothing,
    BurstWithoutRate,
    RetriesWithoutBudget,
    BodyAboveMemory,
    InForceUnavailable,
    AttemptsWithoutObjective,
    TargetWithoutWeight,
    MemoryUnknown,
    NothingInForce,
    EntryAdded,
    EntryRemoved,
    EntryChanged,
    NoDifference,
};

}

template <>
struct Model::EnumNames<Check::Severity> {
    static constexpr std::array entries {
        EnumName { Check::Severity::Note, "note" },
        EnumName { Check::Severity::Warning, "warning" },
        EnumName { Check::Severity::Error, "error" },
    };
};

template <>
struct Model::EnumNames<Check::FindingId> {
    static constexpr std::array entries {
        EnumName { Check::FindingId::DocumentMalformed, "document-malformed" },
        EnumName { Check::FindingId::ProfileRefused, "profile-refused" },
        EnumName { Check::FindingId::ProfileTwice, "profile-twice" },
        EnumName { Check::FindingId::TableTwice, "table-twice" },
        EnumName { Check::FindingId::EntryRefused, "entry-refused" },
        EnumName { Check::FindingId::VersionNotNewer, "version-not-newer" },
        EnumName { Check::FindingId::RouteHidden, "route-hidden" },
        EnumName { Check::FindingId::RouteUnmatchable, "route-unmatchable" },
        EnumName { Check::FindingId::ServiceWithoutRoute, "service-without-route" },
        EnumName { Check::FindingId::TenantWithoutKeys, "tenant-without-keys" },
        EnumName { Check::FindingId::TimeoutBelowObjective, "timeout-below-objective" },
        EnumName { Check::FindingId::AttemptsBeyondTimeout, "attempts-beyond-timeout" },
        EnumName { Check::FindingId::RateAdmitsNothing, "rate-admits-nothing" },
        EnumName { Check::FindingId::BurstAdmitsNothing, "burst-admits-nothing" },
        EnumName { Check::FindingId::BurstWithoutRate, "burst-without-rate" },
        EnumName { Check::FindingId::RetriesWithoutBudget, "retries-without-budget" },
        EnumName { Check::FindingId::BodyAboveMemory, "body-above-memory" },
        EnumName { Check::FindingId::InForceUnavailable, "in-force-unavailable" },
        EnumName { Check::FindingId::AttemptsWithoutObjective, "attempts-without-objective" },
        EnumName { Check::FindingId::TargetWithoutWeight, "target-without-weight" },
        EnumName { Check::FindingId::MemoryUnknown, "memory-unknown" },
        EnumName { Check::FindingId::NothingInForce, "nothing-in-force" },
        EnumName { Check::FindingId::EntryAdded, "entry-added" },
        EnumName { Check::FindingId::EntryRemoved, "entry-removed" },
        EnumName { Check::FindingId::EntryChanged, "entry-changed" },
        EnumName { Check::FindingId::NoDifference, "no-difference" },
    };
};

namespace Check {

struct Finding {
    FindingId id;
    // The file as it was named on the command line, or the process that was asked.
    std::string file;
    // Names the entry, as in "route r1" or "limits"; empty if the whole file is meant.
    std::string entry;
    // What is wrong and what to change.
    std::string message;
    // Counts from 1; 0 if it isn't known.
    int line { 0 };

    bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Each identifier has one severity.
Severity severityOf(FindingId);

// The highest severity; Note if there are no findings.
Severity highestSeverity(const Findings&);

}
