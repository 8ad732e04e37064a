#include <LibCheck/Finding.h>

#include <algorithm>

namespace Check {

Severity severityOf(FindingId id)
{
    switch (id) {
    case FindingId::DocumentMalformed:
    case FindingId::ProfileRefused:
    case FindingId::ProfileTwice:
    case FindingId::TableTwice:
    case FindingId::EntryRefused:
    case FindingId::VersionNotNewer:
        return Severity::Error;
    case FindingId::RouteHidden:
    case FindingId::RouteUnmatchable:
    case FindingId::ServiceWithoutRoute:
    case FindingId::TenantWithoutKeys:
    case FindingId::TimeoutBelowObjective:
    case FindingId::AttemptsBeyondTimeout:
    case FindingId::RateAdmitsNothing:
    case FindingId::BurstAdmitsNothing:
    case FindingId::BurstWithoutRate:
    case FindingId::RetriesWithoutBudget:
    case FindingId::BodyAboveMemory:
    case FindingId::InForceUnavailable:
        return Severity::Warning;
    case FindingId::AttemptsWithoutObjective:
    case FindingId::TargetWithoutWeight:
    case FindingId::MemoryUnknown:
    case FindingId::NothingInForce:
    case FindingId::EntryAdded:
    case FindingId::EntryRemoved:
    case FindingId::EntryChanged:
    case FindingId::NoDifference:
        return Severity::Note;
    }
    return Severity::Error;
}

Severity highestSeverity(const Findings& findings)
{
    auto highest = Severity::Note;
    for (const auto& finding : findings)
        highest = std::max(highest, severityOf(finding.id));
    return highest;
}

}
