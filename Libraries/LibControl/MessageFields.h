#pragma once

#include <LibDecision/Attempt.h>
#include <LibDecision/Message.h>

// Lists the fields of every control message and record for JsonWriter and JsonReader; see JsonArchive.h. The functions
// are in the namespaces of the types so that argument-dependent lookup finds them.
namespace Model {

template <typename Archive>
void describe(Archive& archive, Fingerprint& value)
{
    archive.field("high", value.high);
    archive.field("low", value.low);
}

template <typename Archive>
void describe(Archive& archive, ProfileRevision& value)
{
    archive.field("name", value.name);
    archive.field("revision", value.revision);
    archive.field("publishId", value.publishId);
    archive.field("author", value.author);
    archive.field("document", value.document);
}

template <typename Archive>
void describe(Archive& archive, RequestInfo& value)
{
    archive.field("id", value.id);
    archive.field("service", value.service);
    archive.field("method", value.method);
    archive.field("path", value.path);
    archive.optionalField("account", value.account);
    archive.optionalField("key", value.key);
    archive.optionalField("parent", value.parent);
    archive.field("remaining", value.remaining);
    archive.field("fingerprint", value.fingerprint);
}

template <typename Archive>
void describe(Archive& archive, RouteTarget& value)
{
    archive.field("service", value.service);
    archive.field("weight", value.weight);
}

template <typename Archive>
void describe(Archive& archive, Route& value)
{
    archive.field("name", value.name);
    archive.field("host", value.host);
    archive.field("pathPrefix", value.pathPrefix);
    archive.field("targets", value.targets);
    archive.field("isIdempotent", value.isIdempotent);
    archive.field("timeout", value.timeout);
    archive.field("latencyObjective", value.latencyObjective);
    archive.field("priority", value.priority);
    archive.field("maximumAttempts", value.maximumAttempts);
    archive.optionalField("isPublic", value.isPublic);
    archive.optionalField("hasLargeBodies", value.hasLargeBodies);
    archive.optionalField("problem", value.problem);
}

template <typename Archive>
void describe(Archive& archive, Tenant& value)
{
    archive.field("name", value.name);
    archive.field("keyDigests", value.keyDigests);
    archive.optionalField("priority", value.priority);
    archive.optionalField("requestsPerSecond", value.requestsPerSecond);
    archive.optionalField("burst", value.burst);
    archive.optionalField("problem", value.problem);
    archive.optionalField("hasUnreadKeys", value.hasUnreadKeys);
}

template <typename Archive>
void describe(Archive& archive, ServiceTerms& value)
{
    archive.field("name", value.name);
    archive.field("healthPath", value.healthPath);
    archive.field("maximumConnections", value.maximumConnections);
}

template <typename Archive>
void describe(Archive& archive, CallerLimits& value)
{
    archive.field("headerBytes", value.headerBytes);
    archive.field("bodyBytes", value.bodyBytes);
    archive.field("headerTimeout", value.headerTimeout);
    archive.field("idleTimeout", value.idleTimeout);
}

template <typename Archive>
void describe(Archive& archive, RouteTable& value)
{
    archive.field("version", value.version);
    archive.field("routes", value.routes);
    archive.field("services", value.services);
    archive.field("limits", value.limits);
    archive.optionalField("tenants", value.tenants);
    archive.optionalField("omissions", value.omissions);
}

inline const char* kindOf(const ProfileRevision&) { return "profile"; }

}

namespace Decision {

template <typename Archive>
void describe(Archive& archive, MemberRecord& value)
{
    archive.field("instance", value.instance);
    archive.field("incarnation", value.incarnation);
    archive.field("zone", value.zone);
    archive.field("region", value.region);
    archive.field("control", value.control);
    archive.field("callers", value.callers);
    archive.field("state", value.state);
}

template <typename Archive>
void describe(Archive& archive, BackendRecord& value)
{
    archive.field("id", value.id);
    archive.field("service", value.service);
    archive.field("profile", value.profile);
    archive.field("sidecar", value.sidecar);
    archive.field("sidecarIncarnation", value.sidecarIncarnation);
    archive.field("incarnation", value.incarnation);
    archive.field("version", value.version);
    archive.field("slots", value.slots);
    archive.field("weight", value.weight);
    archive.field("phase", value.phase);
    archive.optionalField("isLeaving", value.isLeaving);
}

template <typename Archive>
void describe(Archive& archive, HealthReport& value)
{
    archive.field("backend", value.backend);
    archive.field("backendIncarnation", value.backendIncarnation);
    archive.field("observer", value.observer);
    archive.field("isFromSidecar", value.isFromSidecar);
    archive.field("suspicion", value.suspicion);
    archive.field("version", value.version);
}

template <typename Archive>
void describe(Archive& archive, CrashReport& value)
{
    archive.field("fingerprint", value.fingerprint);
    archive.field("victim", value.victim);
    archive.field("victimIncarnation", value.victimIncarnation);
    archive.optionalField("ranAlone", value.ranAlone);
    archive.optionalField("isCleared", value.isCleared);
    archive.optionalField("age", value.age);
}

template <typename Archive>
void describe(Archive& archive, ClaimHolder& value)
{
    archive.field("service", value.service);
    archive.field("partition", value.partition);
    archive.field("holder", value.holder);
    archive.field("holderIncarnation", value.holderIncarnation);
    archive.field("epoch", value.epoch);
}

template <typename Archive>
void describe(Archive& archive, Ping& value)
{
    archive.field("sequence", value.sequence);
    archive.field("rumors", value.rumors);
}

template <typename Archive>
void describe(Archive& archive, Ack& value)
{
    archive.field("sequence", value.sequence);
    archive.field("rumors", value.rumors);
}

template <typename Archive>
void describe(Archive& archive, IndirectPing& value)
{
    archive.field("sequence", value.sequence);
    archive.field("target", value.target);
    archive.field("targetControl", value.targetControl);
}

template <typename Archive>
void describe(Archive& archive, IndirectAck& value)
{
    archive.field("sequence", value.sequence);
    archive.field("target", value.target);
}

template <typename Archive>
void describe(Archive& archive, Gossip& value)
{
    archive.field("rumors", value.rumors);
}

template <typename Archive>
void describe(Archive& archive, Join& value)
{
    archive.field("member", value.member);
}

template <typename Archive>
void describe(Archive& archive, SyncDigest& value)
{
    archive.field("bucketHashes", value.bucketHashes);
    archive.field("wantsAnswer", value.wantsAnswer);
}

template <typename Archive>
void describe(Archive& archive, SyncRecords& value)
{
    archive.field("buckets", value.buckets);
    archive.field("records", value.records);
    archive.field("wantsAnswer", value.wantsAnswer);
}

template <typename Archive>
void describe(Archive& archive, ClaimRequest& value)
{
    archive.field("sequence", value.sequence);
    archive.field("service", value.service);
    archive.field("partition", value.partition);
    archive.field("account", value.account);
    archive.field("key", value.key);
    archive.field("fingerprint", value.fingerprint);
    archive.field("request", value.request);
    archive.field("resendWindow", value.resendWindow);
}

template <typename Archive>
void describe(Archive& archive, ClaimReply& value)
{
    archive.field("sequence", value.sequence);
    archive.field("askerIncarnation", value.requesterIncarnation);
    archive.field("verdict", value.verdict);
    archive.field("validity", value.validity);
    archive.field("epoch", value.epoch);
    archive.field("outcomeKeeper", value.outcomeKeeper);
}

template <typename Archive>
void describe(Archive& archive, ClaimOutcome& value)
{
    archive.field("sequence", value.sequence);
    archive.field("service", value.service);
    archive.field("partition", value.partition);
    archive.field("account", value.account);
    archive.field("key", value.key);
    archive.field("request", value.request);
    archive.field("outcome", value.outcome);
}

template <typename Archive>
void describe(Archive& archive, ClaimEntry& value)
{
    archive.field("account", value.account);
    archive.field("key", value.key);
    archive.field("fingerprint", value.fingerprint);
    archive.field("request", value.request);
    archive.field("outcome", value.outcome);
    archive.field("isRunning", value.isRunning);
    archive.field("outcomeKeeper", value.outcomeKeeper);
    archive.field("keeperIncarnation", value.keeperIncarnation);
    archive.field("sequence", value.sequence);
    archive.field("remaining", value.remaining);
}

template <typename Archive>
void describe(Archive& archive, ClaimHandover& value)
{
    archive.field("service", value.service);
    archive.field("partition", value.partition);
    archive.field("epoch", value.epoch);
    archive.field("part", value.part);
    archive.field("isLastPart", value.isLastPart);
    archive.field("entries", value.entries);
}

template <typename Archive>
void describe(Archive& archive, RouteTableRequest& value)
{
    archive.field("known", value.known);
}

template <typename Archive>
void describe(Archive& archive, RouteTablePart& value)
{
    archive.field("number", value.number);
    archive.field("count", value.count);
    archive.field("table", value.table);
}

template <typename Archive>
void describe(Archive& archive, ConfigurationProofRequest& value)
{
    archive.field("sequence", value.sequence);
    archive.field("requesterStart", value.requesterStart);
}

template <typename Archive>
void describe(Archive& archive, ConfigurationProofReply& value)
{
    archive.field("sequence", value.sequence);
    archive.field("requesterStart", value.requesterStart);
    archive.field("version", value.version);
    archive.optionalField("age", value.age);
    archive.optionalField("era", value.era);
}

template <typename Archive>
void describe(Archive& archive, QuotaNeed& value)
{
    archive.field("tenant", value.tenant);
    archive.optionalField("tokens", value.tokens);
    archive.optionalField("tokensAhead", value.tokensAhead);
}

template <typename Archive>
void describe(Archive& archive, QuotaRequest& value)
{
    archive.field("sequence", value.sequence);
    archive.field("partition", value.partition);
    archive.field("needs", value.needs);
    archive.optionalField("wantsHandover", value.wantsHandover);
    archive.field("requesterStart", value.requesterStart);
    archive.optionalField("forwardTo", value.forwardTo);
    archive.optionalField("requester", value.requester);
    archive.optionalField("requesterRoutesVersion", value.requesterRoutesVersion);
    archive.optionalField("unanswering", value.unanswering);
}

template <typename Archive>
void describe(Archive& archive, QuotaGrant& value)
{
    archive.field("tenant", value.tenant);
    archive.optionalField("tokens", value.tokens);
    archive.optionalField("tokensAhead", value.tokensAhead);
    archive.optionalField("isUnlimited", value.isUnlimited);
    archive.optionalField("nextToken", value.nextToken);
    archive.optionalField("retryAfter", value.retryAfter);
}

template <typename Archive>
void describe(Archive& archive, QuotaReply& value)
{
    archive.field("sequence", value.sequence);
    archive.field("requesterStart", value.requesterStart);
    archive.field("partition", value.partition);
    archive.field("isHolder", value.isHolder);
    archive.optionalField("holder", value.holder);
    archive.field("grants", value.grants);
    archive.optionalField("requester", value.requester);
}

template <typename Archive>
void describe(Archive& archive, BackendCondition& value)
{
    archive.field("incarnation", value.incarnation);
    archive.optionalField("requestLimit", value.requestLimit);
    archive.optionalField("limitWait", value.limitWait);
    archive.optionalField("isHeard", value.isHeard);
    archive.optionalField("isLeaving", value.isLeaving);
}

template <typename Archive>
void describe(Archive& archive, LoadReport& value)
{
    archive.field("slots", value.slots);
    archive.optionalField("running", value.running);
    archive.optionalField("queued", value.queued);
    archive.optionalField("serviceTime", value.serviceTime);
    archive.optionalField("suspicion", value.suspicion);
    archive.optionalField("faultProbability", value.faultProbability);
    archive.optionalField("isTrialDue", value.isTrialDue);
    archive.optionalField("condition", value.condition);
}

inline const char* kindOf(const MemberRecord&) { return "member"; }
inline const char* kindOf(const BackendRecord&) { return "backend"; }
inline const char* kindOf(const HealthReport&) { return "health"; }
inline const char* kindOf(const CrashReport&) { return "crash"; }
inline const char* kindOf(const ClaimHolder&) { return "claim-holder"; }
inline const char* kindOf(const Ping&) { return "ping"; }
inline const char* kindOf(const Ack&) { return "ack"; }
inline const char* kindOf(const IndirectPing&) { return "indirect-ping"; }
inline const char* kindOf(const IndirectAck&) { return "indirect-ack"; }
inline const char* kindOf(const Gossip&) { return "gossip"; }
inline const char* kindOf(const Join&) { return "join"; }
inline const char* kindOf(const SyncDigest&) { return "sync-digest"; }
inline const char* kindOf(const SyncRecords&) { return "sync-records"; }
inline const char* kindOf(const ClaimRequest&) { return "claim-request"; }
inline const char* kindOf(const ClaimReply&) { return "claim-reply"; }
inline const char* kindOf(const ClaimOutcome&) { return "claim-outcome"; }
inline const char* kindOf(const ClaimHandover&) { return "claim-handover"; }
inline const char* kindOf(const RouteTableRequest&) { return "route-table-request"; }
inline const char* kindOf(const RouteTablePart&) { return "route-table-part"; }
inline const char* kindOf(const ConfigurationProofRequest&) { return "configuration-proof-request"; }
inline const char* kindOf(const ConfigurationProofReply&) { return "configuration-proof-reply"; }
inline const char* kindOf(const QuotaRequest&) { return "quota-request"; }
inline const char* kindOf(const QuotaReply&) { return "quota-reply"; }

}
