#include <LibCheck/DifferenceCheck.h>

#include <LibModel/DurationText.h>
#include <LibModel/NumberText.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <sstream>

namespace Check {

namespace {

    // Values of one entry by their names, as texts that can be compared and shown.
    using Values = std::map<std::string, std::string>;
    using Entries = std::map<std::string, Values>;

    std::string textOf(bool value) { return value ? "true" : "false"; }

    std::string textOf(const std::vector<RouteTarget>& targets)
    {
        std::string text;
        for (const auto& target : targets)
            text += (text.empty() ? "" : ", ") + target.service.value() + " " + formatNumber(target.weight);
        return text;
    }

    Values valuesOf(const Route& route)
    {
        return { { "name", route.name }, { "targets", textOf(route.targets) }, { "idempotent", textOf(route.isIdempotent) }, { "timeout", formatDuration(route.timeout) },
            { "latency objective", formatDuration(route.latencyObjective) }, { "priority", std::to_string(route.priority) }, { "attempts", std::to_string(route.maximumAttempts) },
            { "public", textOf(route.isPublic) }, { "large bodies", textOf(route.hasLargeBodies) }, { "problem", route.problem } };
    }

    Values valuesOf(const ServiceTerms& service)
    {
        return { { "health path", service.healthPath }, { "connections", std::to_string(service.maximumConnections) } };
    }

    Values valuesOf(const Tenant& tenant)
    {
        return { { "priority", std::to_string(tenant.priority) }, { "rate", formatNumber(tenant.requestsPerSecond) }, { "burst", formatNumber(tenant.burst) }, { "problem", tenant.problem } };
    }

    Values valuesOf(const CallerLimits& limits)
    {
        return { { "head bytes", std::to_string(limits.headerBytes) }, { "body bytes", std::to_string(limits.bodyBytes) }, { "head timeout", formatDuration(limits.headerTimeout) },
            { "idle timeout", formatDuration(limits.idleTimeout) } };
    }

    // The formatted profile has a section in the first column and its keys below; deeper lines belong to the key above.
    Values valuesOf(const Profile& profile)
    {
        Values values;
        std::istringstream text(formatProfile(profile));
        std::string section;
        std::string key;
        for (std::string line; std::getline(text, line);) {
            auto begin = std::min(line.find_first_not_of(' '), line.size());
            auto colon = line.find(':');
            if (begin == 0) {
                section = line.substr(0, colon);
                key = section;
            } else if (begin == 2 && line[begin] != '-') {
                key = section + "." + line.substr(begin, colon - begin);
            } else {
                values[key] += " " + line.substr(begin);
                continue;
            }
            values[key] = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
        }
        return values;
    }

    std::string changesBetween(const Values& before, const Values& after)
    {
        std::string text;
        for (const auto& [name, value] : after) {
            auto old = before.find(name);
            auto oldValue = old == before.end() ? "" : old->second;
            if (oldValue != value)
                text += (text.empty() ? "" : "; ") + name + " from \"" + oldValue + "\" to \"" + value + "\"";
        }
        return text;
    }

    // The digests tell nothing to a reader, so that only the numbers of keys are shown.
    std::string keyChangesBetween(const Tenant& before, const Tenant& after)
    {
        auto countMissing = [](std::vector<std::string> from, std::vector<std::string> in) {
            std::ranges::sort(from);
            std::ranges::sort(in);
            std::vector<std::string> missing;
            std::ranges::set_difference(from, in, std::back_inserter(missing));
            return missing.size();
        };
        auto added = countMissing(after.keyDigests, before.keyDigests);
        auto removed = countMissing(before.keyDigests, after.keyDigests);
        if (added + removed == 0)
            return "";
        return "the API keys: " + std::to_string(added) + " added, " + std::to_string(removed) + " removed";
    }

    class TableComparison {
    public:
        TableComparison(const TableDocument& candidate, const TableDocument& inForce, const std::string& source, Findings& findings)
            : m_candidate(candidate)
            , m_inForce(inForce)
            , m_source(source)
            , m_findings(findings)
        {
        }

        void run()
        {
            auto firstFinding = m_findings.size();
            const auto& before = m_inForce.table;
            const auto& after = m_candidate.table;
            compare(entriesOf(before.routes, nameOfRoute), entriesOf(after.routes, nameOfRoute));
            auto nameOfService = [](const ServiceTerms& service) { return "service " + service.name.value(); };
            compare(entriesOf(before.services, nameOfService), entriesOf(after.services, nameOfService));
            compareTenants();
            addChange("limits", changesBetween(valuesOf(before.limits), valuesOf(after.limits)));
            bool isSame = m_findings.size() == firstFinding;
            bool isRepeated = isSame && after.version == before.version;
            if (isRepeated)
                m_findings.push_back({ FindingId::NoDifference, m_candidate.file, "", "The route table is the one in force at " + m_source + ", version " + std::to_string(before.version.value()) + ". Nothing has to be published." });
            else if (after.version <= before.version)
                m_findings.push_back({ FindingId::VersionNotNewer, m_candidate.file, "version",
                    "Version " + std::to_string(after.version.value()) + " isn't above version " + std::to_string(before.version.value()) + " in force at " + m_source + ", so that no process would adopt it. Set the version to "
                        + std::to_string(before.version.value() + 1) + " or more." });
            else if (isSame)
                m_findings.push_back({ FindingId::NoDifference, m_candidate.file, "", "Only the version differs from the route table in force at " + m_source + ". Nothing has to be published." });
        }

    private:
        // Routes are known by their place; their names may change.
        static std::string nameOfRoute(const Route& route) { return "route " + route.host + route.pathPrefix; }

        template <typename Entry, typename NameOf>
        static Entries entriesOf(const std::vector<Entry>& list, const NameOf& nameOfEntry)
        {
            Entries entries;
            for (const auto& entry : list)
                entries.emplace(nameOfEntry(entry), valuesOf(entry));
            return entries;
        }

        void compare(const Entries& before, const Entries& after)
        {
            for (const auto& [name, values] : after) {
                auto old = before.find(name);
                if (old == before.end())
                    m_findings.push_back({ FindingId::EntryAdded, m_candidate.file, name, "It isn't in force at " + m_source + " yet. Check that it is meant to be added." });
                else
                    addChange(name, changesBetween(old->second, values));
            }
            for (const auto& [name, values] : before) {
                if (!after.contains(name))
                    m_findings.push_back({ FindingId::EntryRemoved, m_candidate.file, name, "It is in force at " + m_source + " and would be gone. Check that it is meant to be removed." });
            }
        }

        void compareTenants()
        {
            auto nameOfTenant = [](const Tenant& tenant) { return "tenant " + tenant.name.value(); };
            compare(entriesOf(m_inForce.table.tenants, nameOfTenant), entriesOf(m_candidate.table.tenants, nameOfTenant));
            std::map<AccountId, const Tenant*> before;
            for (const auto& tenant : m_inForce.table.tenants)
                before.emplace(tenant.name, &tenant);
            for (const auto& tenant : m_candidate.table.tenants) {
                auto old = before.find(tenant.name);
                if (old != before.end())
                    addChange(nameOfTenant(tenant), keyChangesBetween(*old->second, tenant));
            }
        }

        void addChange(const std::string& entry, const std::string& changes)
        {
            if (!changes.empty())
                m_findings.push_back({ FindingId::EntryChanged, m_candidate.file, entry, "Publishing changes " + changes + ". Check that this is meant." });
        }

        const TableDocument& m_candidate;
        const TableDocument& m_inForce;
        const std::string& m_source;
        Findings& m_findings;
    };

    void compareProfile(const ProfileDocument& candidate, const InForce& inForce, Findings& findings)
    {
        auto entry = "profile " + candidate.profile.name.value();
        const auto& known = inForce.configuration.profiles;
        auto before = std::ranges::find_if(known, [&](const ProfileDocument& document) { return document.profile.name == candidate.profile.name; });
        if (before == known.end()) {
            findings.push_back({ FindingId::NothingInForce, candidate.file, entry, "No profile of this name is in force at " + inForce.source + ". Check the name if the profile isn't new." });
            return;
        }
        auto changes = changesBetween(valuesOf(before->profile), valuesOf(candidate.profile));
        if (changes.empty())
            findings.push_back({ FindingId::NoDifference, candidate.file, entry, "The profile is the one in force at " + inForce.source + ". Nothing has to be published." });
        else
            findings.push_back({ FindingId::EntryChanged, candidate.file, entry, "Publishing changes " + changes + ". Check that this is meant." });
    }

}

void findDifferences(const Configuration& candidate, const InForce& inForce, Findings& findings)
{
    if (candidate.table && inForce.configuration.table)
        TableComparison(*candidate.table, *inForce.configuration.table, inForce.source, findings).run();
    else if (candidate.table)
        findings.push_back({ FindingId::NothingInForce, candidate.table->file, "", "No route table is in force at " + inForce.source + ", so that all entries are new. Check that the right process or file was named." });
    for (const auto& profile : candidate.profiles)
        compareProfile(profile, inForce, findings);
}

}
