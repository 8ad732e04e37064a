#pragma once

#include <LibCheck/Configuration.h>
#include <LibCheck/Finding.h>
#include <LibModel/Tenant.h>

namespace Check {

// The configuration in force, if the caller has one to compare with.
struct InForce {
    // The process or the files that it comes from.
    std::string source;
    Configuration configuration;
};

// What the settings of the processes say; the defaults where nobody knows.
struct ProcessTerms {
    // Bytes that a process can hold for one request.
    std::optional<uint64_t> largestRequestBytes;
    TenantTerms tenants;
    // Checked with the published profiles. Its file is the settings file.
    std::optional<ProfileDocument> defaultProfile;
};

// Checks a configuration that DocumentReader read, whose own findings aren't repeated. Entries that publishing would
// refuse are left out of the further checks. The most severe findings come first.
Findings checkConfiguration(const Configuration&, const ProcessTerms&, const std::optional<InForce>&);

void sortBySeverity(Findings&);

}
