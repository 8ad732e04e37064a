#include <LibCheck/ConfigurationCheck.h>

#include <LibCheck/DifferenceCheck.h>
#include <LibCheck/LimitCheck.h>
#include <LibCheck/MatchCheck.h>

#include <algorithm>

namespace Check {

Findings checkConfiguration(const Configuration& candidate, const ProcessTerms& terms, const std::optional<InForce>& inForce)
{
    // The route table as the processes would have it, since that is what requests meet.
    auto usable = candidate;
    if (usable.table)
        isolateProblems(usable.table->table);

    Findings findings;
    if (usable.table) {
        findMismatches(*usable.table, findings);
        findTableConflicts(*usable.table, terms, findings);
    }
    findProfileConflicts(usable, terms, findings);
    if (inForce)
        findDifferences(usable, *inForce, findings);
    sortBySeverity(findings);
    return findings;
}

void sortBySeverity(Findings& findings)
{
    std::ranges::stable_sort(findings, std::ranges::greater(), [](const Finding& finding) { return severityOf(finding.id); });
}

}
