#include <LibModel/Profile.h>

#include <LibModel/NumberText.h>
#include <LibModel/ProfileReader.h>
#include <LibModel/YamlReader.h>

namespace Model {

namespace {

    constexpr Duration longestDuration = std::chrono::hours(24);

    HealthPolicy readHealth(YamlReader reader)
    {
        HealthPolicy policy;
        policy.priority = reader.enumeration<HealthPriority>("priority", policy.priority);
        policy.floor = reader.number("floor", 0, 1, policy.floor);
        policy.ejectionTime = reader.duration("ejection-time", 100ms, 1h, policy.ejectionTime);
        policy.maximumEjectionTime = reader.duration("maximum-ejection-time", 100ms, longestDuration, policy.maximumEjectionTime);
        policy.probeInterval = reader.duration("probe-interval", 1s, 1h, policy.probeInterval);
        policy.probePath = reader.stringOr("probe-path", policy.probePath);
        if (!policy.probePath.empty() && policy.probePath.front() != '/')
            reader.fail("probe-path", "does not begin with /", "a path, or an empty text for no probes");
        policy.faultBound = reader.number("fault-bound", 0, 1, policy.faultBound);
        if (policy.maximumEjectionTime < policy.ejectionTime)
            reader.fail("maximum-ejection-time", "shorter than ejection-time", "ejection-time or longer");
        reader.finish();
        return policy;
    }

    CapacityPolicy readCapacity(YamlReader reader)
    {
        CapacityPolicy policy;
        policy.callerWait = reader.duration("caller-wait", 0s, 1h, policy.callerWait);
        policy.queueLength = reader.wholeNumber("queue-length", 0, 10'000, policy.queueLength);
        policy.queueTimeout = reader.duration("queue-timeout", 0s, 1min, policy.queueTimeout);
        policy.connections = reader.wholeNumber("connections", 1, 10'000, policy.connections);
        policy.idleConnectionTimeout = reader.duration("idle-connection-timeout", 1s, 1h, policy.idleConnectionTimeout);
        reader.finish();
        return policy;
    }

    DeadlinePolicy readDeadlines(YamlReader reader)
    {
        DeadlinePolicy policy;
        policy.defaultDeadline = reader.duration("default", 1ms, 1h, policy.defaultDeadline);
        policy.maximumDeadline = reader.duration("maximum", 1ms, 1h, policy.maximumDeadline);
        policy.progressTimeout = reader.duration("progress-timeout", 10ms, 1min, policy.progressTimeout);
        if (policy.maximumDeadline < policy.defaultDeadline)
            reader.fail("maximum", "shorter than default", "default or longer");
        reader.finish();
        return policy;
    }

    RetryPolicy readRetries(YamlReader reader)
    {
        RetryPolicy policy;
        policy.maximumAttempts = reader.wholeNumber("maximum-attempts", 1, 10, policy.maximumAttempts);
        policy.settles = reader.boolean("settles", policy.settles);
        policy.settlesThroughPeers = reader.boolean("settles-through-peers", policy.settlesThroughPeers);
        policy.reroutes = reader.wholeNumber("reroutes", 0, 100, policy.reroutes);
        policy.budget = reader.number("budget", 0, 1, policy.budget);
        policy.minimumPerSecond = reader.number("minimum-per-second", 0, 100, policy.minimumPerSecond);
        policy.fleetExtra = reader.number("fleet-extra", 0, 1'000'000, policy.fleetExtra);
        policy.window = reader.duration("window", 1s, 1h, policy.window);
        reader.finish();
        return policy;
    }

    IdempotencyPolicy readIdempotency(YamlReader reader)
    {
        IdempotencyPolicy policy;
        for (auto& ruleReader : reader.mappings("rules")) {
            IdempotencyRule rule;
            rule.method = ruleReader.enumeration<Method>("method", std::nullopt);
            rule.pathPrefix = ruleReader.string("path-prefix");
            if (rule.pathPrefix.front() != '/')
                ruleReader.fail("path-prefix", "does not begin with /", "the beginning of a path");
            rule.isIdempotent = ruleReader.boolean("idempotent", rule.isIdempotent);
            ruleReader.finish();
            policy.rules.push_back(std::move(rule));
        }
        policy.resendWindow = reader.duration("resend-window", 1s, longestDuration, policy.resendWindow);
        policy.claimLease = reader.duration("claim-lease", 10s, longestDuration, policy.claimLease);
        reader.finish();
        return policy;
    }

    FairnessPolicy readFairness(YamlReader reader)
    {
        FairnessPolicy policy;
        policy.maximumAccountShare = reader.number("maximum-account-share", 0.01, 1, policy.maximumAccountShare);
        reader.finish();
        return policy;
    }

    PlacementPolicy readPlacement(YamlReader reader)
    {
        PlacementPolicy policy;
        policy.zoneCrossingCost = reader.duration("zone-crossing-cost", 0s, 10s, policy.zoneCrossingCost);
        policy.adaptiveCrossingFrom = reader.duration("adaptive-crossing-from", 0s, 10s, policy.adaptiveCrossingFrom);
        reader.finish();
        return policy;
    }

    LifecyclePolicy readLifecycle(YamlReader reader)
    {
        LifecyclePolicy policy;
        policy.drainBound = reader.duration("drain-bound", 100ms, 1min, policy.drainBound);
        policy.drainTimeout = reader.duration("drain-timeout", 1s, 1h, policy.drainTimeout);
        policy.coldStart = reader.duration("cold-start", 0s, 1h, policy.coldStart);
        policy.announcementLapse = reader.duration("announcement-lapse", 1s, 1h, policy.announcementLapse);
        reader.finish();
        return policy;
    }

    CrashPolicy readCrash(YamlReader reader)
    {
        CrashPolicy policy;
        policy.maximumVictims = reader.wholeNumber("maximum-victims", 1, 100, policy.maximumVictims);
        policy.forgetAfter = reader.duration("forget-after", 1s, longestDuration, policy.forgetAfter);
        reader.finish();
        return policy;
    }

    class DurationText {
    public:
        explicit DurationText(Duration duration)
            : m_text(formatDuration(duration))
        {
        }

        friend YAML::Emitter& operator<<(YAML::Emitter& emitter, const DurationText& duration) { return emitter << duration.m_text; }

    private:
        std::string m_text;
    };

    // Writes one section of the document; the entries follow in the order of the calls.
    class SectionWriter {
    public:
        SectionWriter(YAML::Emitter& emitter, const char* section)
            : m_emitter(emitter)
        {
            m_emitter << YAML::Key << section << YAML::Value << YAML::BeginMap;
        }
        ~SectionWriter() { m_emitter << YAML::EndMap; }
        SectionWriter(const SectionWriter&) = delete;
        SectionWriter& operator=(const SectionWriter&) = delete;

        template <typename Value>
        SectionWriter& entry(const char* key, const Value& value)
        {
            m_emitter << YAML::Key << key << YAML::Value;
            if constexpr (std::is_floating_point_v<Value>)
                m_emitter << formatNumber(value);
            else
                m_emitter << value;
            return *this;
        }

    private:
        YAML::Emitter& m_emitter;
    };

    void writeIdempotency(YAML::Emitter& emitter, const IdempotencyPolicy& policy)
    {
        SectionWriter section(emitter, "idempotency");
        emitter << YAML::Key << "rules" << YAML::Value << YAML::BeginSeq;
        for (const auto& rule : policy.rules) {
            emitter << YAML::BeginMap
                    << YAML::Key << "method" << YAML::Value << std::string(nameOf(rule.method))
                    << YAML::Key << "path-prefix" << YAML::Value << rule.pathPrefix
                    << YAML::Key << "idempotent" << YAML::Value << rule.isIdempotent
                    << YAML::EndMap;
        }
        emitter << YAML::EndSeq;
        section.entry("resend-window", DurationText(policy.resendWindow))
            .entry("claim-lease", DurationText(policy.claimLease));
    }

    bool isIdempotentByStandard(Method method)
    {
        // https://www.rfc-editor.org/rfc/rfc9110#section-9.2.2
        return method != Method::Post && method != Method::Patch && method != Method::Other;
    }

}

bool Profile::isIdempotent(Method method, std::string_view path) const
{
    auto rule = std::ranges::find_if(idempotency.rules, [&](const IdempotencyRule& candidate) {
        return candidate.method == method && path.starts_with(candidate.pathPrefix);
    });
    if (rule != idempotency.rules.end())
        return rule->isIdempotent;
    return isIdempotentByStandard(method);
}

static Profile readPolicies(YamlReader& reader)
{
    Profile profile;
    profile.health = readHealth(reader.mapping("health"));
    profile.capacity = readCapacity(reader.mapping("capacity"));
    profile.deadlines = readDeadlines(reader.mapping("deadlines"));
    profile.retries = readRetries(reader.mapping("retries"));
    profile.idempotency = readIdempotency(reader.mapping("idempotency"));
    profile.fairness = readFairness(reader.mapping("fairness"));
    profile.placement = readPlacement(reader.mapping("placement"));
    profile.lifecycle = readLifecycle(reader.mapping("lifecycle"));
    profile.crash = readCrash(reader.mapping("crash"));
    return profile;
}

Profile readProfilePolicies(YamlReader reader)
{
    auto profile = readPolicies(reader);
    reader.finish();
    return profile;
}

Profile parseProfile(std::string_view document, const std::string& fileName)
{
    auto reader = YamlReader::parse(document, fileName);
    constexpr uint64_t schemaVersion = 1;
    reader.wholeNumber("schema", schemaVersion, schemaVersion, schemaVersion);
    auto name = ProfileName(reader.string("name"));
    auto profile = readPolicies(reader);
    profile.name = std::move(name);
    reader.finish();
    return profile;
}

std::string formatProfile(const Profile& profile)
{
    YAML::Emitter emitter;
    emitter << YAML::BeginMap;
    emitter << YAML::Key << "schema" << YAML::Value << 1;
    emitter << YAML::Key << "name" << YAML::Value << profile.name.value();
    SectionWriter(emitter, "health")
        .entry("priority", std::string(nameOf(profile.health.priority)))
        .entry("floor", profile.health.floor)
        .entry("ejection-time", DurationText(profile.health.ejectionTime))
        .entry("maximum-ejection-time", DurationText(profile.health.maximumEjectionTime))
        .entry("probe-interval", DurationText(profile.health.probeInterval))
        .entry("probe-path", profile.health.probePath)
        .entry("fault-bound", profile.health.faultBound);
    SectionWriter(emitter, "capacity")
        .entry("caller-wait", DurationText(profile.capacity.callerWait))
        .entry("queue-length", profile.capacity.queueLength)
        .entry("queue-timeout", DurationText(profile.capacity.queueTimeout))
        .entry("connections", profile.capacity.connections)
        .entry("idle-connection-timeout", DurationText(profile.capacity.idleConnectionTimeout));
    SectionWriter(emitter, "deadlines")
        .entry("default", DurationText(profile.deadlines.defaultDeadline))
        .entry("maximum", DurationText(profile.deadlines.maximumDeadline))
        .entry("progress-timeout", DurationText(profile.deadlines.progressTimeout));
    SectionWriter(emitter, "retries")
        .entry("maximum-attempts", profile.retries.maximumAttempts)
        .entry("settles", profile.retries.settles)
        .entry("settles-through-peers", profile.retries.settlesThroughPeers)
        .entry("reroutes", profile.retries.reroutes)
        .entry("budget", profile.retries.budget)
        .entry("minimum-per-second", profile.retries.minimumPerSecond)
        .entry("fleet-extra", profile.retries.fleetExtra)
        .entry("window", DurationText(profile.retries.window));
    writeIdempotency(emitter, profile.idempotency);
    SectionWriter(emitter, "fairness")
        .entry("maximum-account-share", profile.fairness.maximumAccountShare);
    SectionWriter(emitter, "placement")
        .entry("zone-crossing-cost", DurationText(profile.placement.zoneCrossingCost))
        .entry("adaptive-crossing-from", DurationText(profile.placement.adaptiveCrossingFrom));
    SectionWriter(emitter, "lifecycle")
        .entry("drain-bound", DurationText(profile.lifecycle.drainBound))
        .entry("drain-timeout", DurationText(profile.lifecycle.drainTimeout))
        .entry("cold-start", DurationText(profile.lifecycle.coldStart))
        .entry("announcement-lapse", DurationText(profile.lifecycle.announcementLapse));
    SectionWriter(emitter, "crash")
        .entry("maximum-victims", profile.crash.maximumVictims)
        .entry("forget-after", DurationText(profile.crash.forgetAfter));
    emitter << YAML::EndMap;
    return std::string(emitter.c_str()) + "\n";
}

}
