#include <LibModel/Settings.h>

#include <LibModel/ProfileReader.h>
#include <LibModel/YamlReader.h>

namespace Model {

namespace {

    constexpr uint64_t largestBody = 64u << 20;
    constexpr uint64_t smallestMemory = 1u << 20;
    constexpr uint64_t largestMemory = uint64_t(1) << 40;
    constexpr uint64_t fewestDescriptors = 64;

    LogSettings readLog(YamlReader reader)
    {
        static constexpr std::array levels { "trace", "debug", "info", "warn", "error" };
        LogSettings settings;
        settings.format = reader.enumeration<LogFormat>("format", settings.format);
        settings.level = reader.stringOr("level", settings.level);
        if (std::ranges::find(levels, settings.level) == levels.end())
            reader.fail("level", "unknown value \"" + settings.level + "\"", "trace, debug, info, warn, error");
        reader.finish();
        return settings;
    }

    TraceSettings readTrace(YamlReader reader)
    {
        TraceSettings settings;
        settings.sampledShare = reader.number("sampled-share", 0, 1, settings.sampledShare);
        reader.finish();
        return settings;
    }

    LimitSettings readLimits(YamlReader reader)
    {
        LimitSettings settings;
        settings.requestBodyBytes = reader.wholeNumber("request-body-bytes", 1, largestBody, settings.requestBodyBytes);
        settings.answerBodyBytes = reader.wholeNumber("answer-body-bytes", 1, largestBody, settings.answerBodyBytes);
        settings.concurrentCalls = reader.wholeNumber("concurrent-calls", 1, 100'000, settings.concurrentCalls);
        settings.memoryBytes = reader.wholeNumber("memory-bytes", smallestMemory, largestMemory, settings.memoryBytes);
        settings.descriptors = reader.wholeNumber("descriptors", fewestDescriptors, 1'000'000, settings.descriptors);
        reader.finish();
        return settings;
    }

    TenantTerms readTenantTerms(YamlReader reader)
    {
        TenantTerms terms;
        terms.hasStrictRevocation = reader.boolean("strict-revocation", terms.hasStrictRevocation);
        terms.revocationBound = reader.duration("revocation-bound", 1s, 1h, terms.revocationBound);
        terms.quotaWindow = reader.duration("quota-window", 1s, 1h, terms.quotaWindow);
        terms.quotaOvershoot = reader.number("quota-overshoot", 0, 1, terms.quotaOvershoot);
        terms.quotaSlack = reader.number("quota-slack", 0, 1e6, terms.quotaSlack);
        reader.finish();
        return terms;
    }

    EdgeSettings readEdge(YamlReader reader)
    {
        EdgeSettings settings;
        settings.requestId = reader.stringOr("request-id", settings.requestId);
        settings.hasRequestIdInAnswers = reader.boolean("request-id-in-answers", settings.hasRequestIdInAnswers);
        settings.hasCallerRequestIds = reader.boolean("caller-request-ids", settings.hasCallerRequestIds);
        settings.parentSeparator = reader.stringOr("parent-separator", settings.parentSeparator);
        settings.deadline = reader.stringOr("deadline", settings.deadline);
        settings.expectedBackend = reader.stringOr("expected-backend", settings.expectedBackend);
        settings.callerService = reader.stringOr("caller-service", settings.callerService);
        settings.tenant = reader.stringOr("tenant", settings.tenant);
        settings.notRun = reader.stringOr("not-run", settings.notRun);
        settings.notRunValue = reader.stringOr("not-run-value", settings.notRunValue);
        settings.answerProof = reader.stringOr("answer-proof", settings.answerProof);
        settings.requestLimit = reader.stringOr("request-limit", settings.requestLimit);
        settings.leaving = reader.stringOr("leaving", settings.leaving);
        settings.statuses = reader.enumeration<StatusScheme>("statuses", settings.statuses);
        for (const auto* name : { &settings.requestId, &settings.deadline, &settings.notRun }) {
            if (name->empty())
                reader.fail("request-id, deadline or not-run", "empty", "a header's name");
        }
        reader.finish();
        return settings;
    }

}

Settings parseSettings(std::string_view document, const std::string& fileName)
{
    auto reader = YamlReader::parse(document, fileName);
    Settings settings;
    settings.instance = InstanceId(reader.string("instance"));
    settings.zone = ZoneName(reader.string("zone"));
    settings.region = RegionName(reader.string("region"));
    settings.callers = reader.endpoint("callers");
    settings.control = reader.endpoint("control");
    if (settings.callers == settings.control)
        reader.fail("control", "the same as callers", "an endpoint of its own");
    settings.announcements = reader.endpointOr("announcements", std::nullopt);
    settings.readiness = reader.endpointOr("readiness", std::nullopt);
    settings.service = ServiceName(reader.stringOr("service", ""));
    settings.peers = reader.endpoints("peers");
    settings.platform = reader.endpoints("platform");
    if (settings.platform.empty())
        reader.fail("platform", "missing or empty", "one endpoint or more");
    settings.platformApi = reader.enumeration<PlatformApi>("platform-api", settings.platformApi);
    settings.routing = reader.enumeration<RoutingMode>("routing", settings.routing);
    settings.edge = readEdge(reader.mapping("edge"));
    settings.defaultProfile = readProfilePolicies(reader.mapping("default-profile"));
    settings.fleetKey = reader.secret("fleet-key");
    settings.operatorKey = reader.secret("operator-key");
    if (settings.fleetKey == settings.operatorKey)
        reader.fail("operator-key", "the same as fleet-key", "a key of its own");
    settings.log = readLog(reader.mapping("log"));
    settings.trace = readTrace(reader.mapping("trace"));
    settings.limits = readLimits(reader.mapping("limits"));
    settings.tenants = readTenantTerms(reader.mapping("tenants"));
    settings.leaveTimeout = reader.duration("leave-timeout", 0s, 1h, settings.leaveTimeout);
    settings.leaveNotice = reader.duration("leave-notice", 0s, settings.leaveTimeout, settings.leaveNotice);
    reader.finish();
    return settings;
}

}
