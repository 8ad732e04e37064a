#include <LibCheck/LimitCheck.h>

#include <LibDecision/Calls/AttemptTimeout.h>
#include <LibModel/DurationText.h>
#include <LibModel/NumberText.h>

#include <algorithm>

namespace Check {

namespace {

    // Only attempts of idempotent requests are cancelled and repeated after a time. Others are sent again only after a
    // refusal, which takes none.
    bool hasTimedAttempts(const Route& route) { return route.isUsable() && route.isIdempotent && route.maximumAttempts > 1; }

    void checkAttempts(const TableDocument& document, const Route& route, Findings& findings)
    {
        auto entry = "route " + route.name;
        auto attempts = std::to_string(route.maximumAttempts);
        auto timeout = formatDuration(route.timeout);
        auto objective = formatDuration(route.latencyObjective);
        constexpr auto shortest = 2 * Decision::AttemptTimeout::minimum;
        if (route.timeout < shortest) {
            findings.push_back({ FindingId::AttemptsBeyondTimeout, document.file, entry,
                "With a timeout of " + timeout + " no attempt without an answer is given up for another one; that takes " + formatDuration(shortest) + ". Raise the timeout, or allow one attempt." });
        } else if (route.latencyObjective == route.timeout) {
            findings.push_back({ FindingId::AttemptsWithoutObjective, document.file, entry,
                "The latency objective is the whole timeout of " + timeout + ", so that a backend server that doesn't answer is left only after half of it. Set a latency objective of at most the timeout divided by the " + attempts + " attempts." });
        } else if (route.latencyObjective < route.timeout && route.maximumAttempts * route.latencyObjective > route.timeout) {
            findings.push_back({ FindingId::AttemptsBeyondTimeout, document.file, entry,
                attempts + " attempts of " + objective + " each don't fit into the timeout of " + timeout + ". Raise the timeout, lower the latency objective, or allow fewer attempts." });
        }
    }

    void checkRoute(const TableDocument& document, const Route& route, Findings& findings)
    {
        if (route.isUsable() && route.timeout < route.latencyObjective)
            findings.push_back({ FindingId::TimeoutBelowObjective, document.file, "route " + route.name,
                "The timeout of " + formatDuration(route.timeout) + " is below the latency objective of " + formatDuration(route.latencyObjective) + ". Raise the timeout or lower the objective." });
        if (hasTimedAttempts(route))
            checkAttempts(document, route, findings);
    }

    void checkQuota(const TableDocument& document, const Tenant& tenant, const ProcessTerms& terms, Findings& findings)
    {
        auto entry = "tenant " + tenant.name.value();
        auto rate = formatNumber(tenant.requestsPerSecond);
        auto burst = formatNumber(tenant.burst);
        if (!tenant.hasQuota()) {
            if (tenant.burst > 0)
                findings.push_back({ FindingId::BurstWithoutRate, document.file, entry, "The burst of " + burst + " has no effect, since a rate of 0 means no limit. Set a rate, or remove the burst." });
            return;
        }
        auto window = std::chrono::duration<double>(terms.tenants.quotaWindow).count();
        if (tenant.requestsPerSecond * window < 1)
            findings.push_back({ FindingId::RateAdmitsNothing, document.file, entry,
                "A rate of " + rate + " requests a second admits no request in a quota window of " + formatDuration(terms.tenants.quotaWindow) + ". Raise the rate to " + formatNumber(1 / window) + " or more, or set 0 for no limit." });
        if (tenant.burst > 0 && tenant.burst < 1)
            findings.push_back({ FindingId::BurstAdmitsNothing, document.file, entry, "A burst of " + burst + " admits no request. Set 1 or more, or remove the burst." });
    }

    void checkBodies(const TableDocument& document, const ProcessTerms& terms, Findings& findings)
    {
        const auto& limits = document.table.limits;
        if (!terms.largestRequestBytes) {
            findings.push_back({ FindingId::MemoryUnknown, document.file, "limits", "The limit on bodies wasn't compared with the memory of a process. Name the settings of a process, or a process that runs." });
            return;
        }
        // The sum would overflow with a limit near the largest number.
        auto largest = *terms.largestRequestBytes;
        if (limits.bodyBytes <= largest && limits.headerBytes <= largest - limits.bodyBytes)
            return;
        findings.push_back({ FindingId::BodyAboveMemory, document.file, "limits",
            "Bodies of " + std::to_string(limits.bodyBytes) + " bytes are allowed, but a process holds at most " + std::to_string(largest) + " bytes for a request with its head, so that larger ones are refused. Lower the limit on bodies to "
                + std::to_string(largest - std::min(largest, limits.headerBytes)) + ", or raise the memory of the processes." });
    }

    // Without any budget only refusals that reached no backend server are followed by another attempt.
    void checkBudget(const ProfileDocument& document, const std::string& entry, const Configuration& configuration, Findings& findings)
    {
        const auto& retries = document.profile.retries;
        if (retries.budget > 0 || retries.minimumPerSecond > 0 || retries.fleetExtra > 0)
            return;
        bool isTable = configuration.table.has_value();
        bool hasRetries = isTable ? std::ranges::any_of(configuration.table->table.routes, hasTimedAttempts) : retries.maximumAttempts > 1;
        if (hasRetries)
            findings.push_back({ FindingId::RetriesWithoutBudget, document.file, entry,
                "More than one attempt is allowed" + std::string(isTable ? " by a route" : "") + ", but the budget never allows one after a failure: retries.budget, minimum-per-second and fleet-extra are 0. Set one of them, or allow one attempt." });
    }

}

void findTableConflicts(const TableDocument& document, const ProcessTerms& terms, Findings& findings)
{
    for (const auto& route : document.table.routes)
        checkRoute(document, route, findings);
    for (const auto& tenant : document.table.tenants) {
        if (tenant.isUsable())
            checkQuota(document, tenant, terms, findings);
    }
    checkBodies(document, terms, findings);
}

void findProfileConflicts(const Configuration& configuration, const ProcessTerms& terms, Findings& findings)
{
    for (const auto& document : configuration.profiles)
        checkBudget(document, "profile " + document.profile.name.value(), configuration, findings);
    if (terms.defaultProfile)
        checkBudget(*terms.defaultProfile, "default-profile", configuration, findings);
}

}
