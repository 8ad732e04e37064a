#include <LibDecision/Membership/RecordSize.h>

#include <functional>
#include <numeric>

namespace Decision {

namespace {

    // Field names, punctuation, numbers and enumeration names of one record.
    constexpr size_t recordOverheadBytes = 240;
    // JSON-RPC envelope, sender, signature and HTTP headers of one message.
    constexpr size_t messageOverheadBytes = 450;
    constexpr size_t numberBytes = 21;
    constexpr size_t claimEntryBytes = 400;
    constexpr size_t quotaNeedBytes = 90;
    constexpr size_t quotaGrantBytes = 190;

    template <typename Tag>
    size_t length(const StrongString<Tag>& string)
    {
        return jsonLength(string.value());
    }

    size_t textLength(const MemberRecord& record)
    {
        return length(record.instance) + length(record.zone) + length(record.region)
            + jsonLength(record.control.address) + jsonLength(record.callers.address);
    }

    size_t textLength(const BackendRecord& record)
    {
        return length(record.id) + length(record.service) + length(record.profile) + length(record.sidecar);
    }

    size_t textLength(const HealthReport& report)
    {
        return length(report.backend) + length(report.observer);
    }

    size_t textLength(const CrashReport& report)
    {
        return length(report.victim);
    }

    size_t textLength(const ClaimHolder& holder)
    {
        return length(holder.service) + length(holder.holder);
    }

    size_t textLength(const ProfileRevision& revision)
    {
        return length(revision.name) + length(revision.publishId) + jsonLength(revision.author) + jsonLength(revision.document);
    }

    size_t sizeOf(const std::vector<Rumor>& rumors)
    {
        return std::transform_reduce(rumors.begin(), rumors.end(), size_t { 0 }, std::plus {}, [](const Rumor& rumor) { return estimatedSize(rumor); });
    }

    size_t bodySize(const Ping& ping) { return sizeOf(ping.rumors); }
    size_t bodySize(const Ack& ack) { return sizeOf(ack.rumors); }
    size_t bodySize(const IndirectPing& ping) { return length(ping.target) + jsonLength(ping.targetControl.address); }
    size_t bodySize(const IndirectAck& ack) { return length(ack.target); }
    size_t bodySize(const Gossip& gossip) { return sizeOf(gossip.rumors); }
    size_t bodySize(const Join& join) { return estimatedSize(Rumor { join.member }); }
    size_t bodySize(const SyncDigest& digest) { return digest.bucketHashes.size() * numberBytes; }
    size_t bodySize(const SyncRecords& records) { return records.buckets.size() * numberBytes + sizeOf(records.records); }

    size_t bodySize(const ClaimRequest& request)
    {
        return recordOverheadBytes + length(request.service) + length(request.account) + length(request.key) + length(request.request);
    }

    size_t bodySize(const ClaimReply& reply) { return recordOverheadBytes + length(reply.outcomeKeeper); }

    size_t bodySize(const ClaimOutcome& outcome)
    {
        return recordOverheadBytes + length(outcome.service) + length(outcome.account) + length(outcome.key) + length(outcome.request);
    }

    size_t textLength(const ClaimEntry& entry)
    {
        return length(entry.account) + length(entry.key) + length(entry.request) + length(entry.outcomeKeeper);
    }

    size_t bodySize(const ClaimHandover& handover)
    {
        auto entries = std::transform_reduce(handover.entries.begin(), handover.entries.end(), size_t { 0 }, std::plus {}, [](const ClaimEntry& entry) { return claimEntryBytes + textLength(entry); });
        return recordOverheadBytes + length(handover.service) + entries;
    }

    size_t bodySize(const RouteTableRequest&) { return numberBytes; }

    size_t bodySize(const ConfigurationProofRequest&) { return 2 * numberBytes; }
    size_t bodySize(const ConfigurationProofReply&) { return 5 * numberBytes; }

    size_t bodySize(const Route& route)
    {
        auto targets = std::transform_reduce(route.targets.begin(), route.targets.end(), size_t { 0 }, std::plus {}, [](const RouteTarget& target) { return length(target.service) + recordOverheadBytes; });
        return recordOverheadBytes + jsonLength(route.name) + jsonLength(route.problem) + jsonLength(route.host) + jsonLength(route.pathPrefix) + targets;
    }

    size_t bodySize(const RouteTablePart& part)
    {
        const auto& routes = part.table.routes;
        auto size = std::transform_reduce(routes.begin(), routes.end(), size_t { 0 }, std::plus {}, [](const Route& route) { return bodySize(route); });
        const auto& tenants = part.table.tenants;
        size = std::transform_reduce(tenants.begin(), tenants.end(), size, std::plus {}, [](const Tenant& tenant) { return estimatedSize(tenant); });
        const auto& omissions = part.table.omissions;
        size = std::transform_reduce(omissions.begin(), omissions.end(), size, std::plus {}, [](const std::string& omission) { return numberBytes + jsonLength(omission); });
        return size + part.table.services.size() * recordOverheadBytes;
    }

    template <typename Item>
    size_t sizeOfTenants(const std::vector<Item>& items, size_t itemBytes)
    {
        return std::transform_reduce(items.begin(), items.end(), size_t { 0 }, std::plus {}, [itemBytes](const Item& item) { return itemBytes + length(item.tenant); });
    }

    size_t bodySize(const QuotaRequest& request) { return 4 * numberBytes + length(request.forwardTo) + length(request.requester) + length(request.unanswering) + sizeOfTenants(request.needs, quotaNeedBytes); }
    size_t bodySize(const QuotaReply& reply) { return 5 * numberBytes + length(reply.holder) + length(reply.requester) + sizeOfTenants(reply.grants, quotaGrantBytes); }

}

size_t jsonLength(std::string_view text)
{
    constexpr size_t escapedBytes = 6;
    return std::transform_reduce(text.begin(), text.end(), size_t { 0 }, std::plus {}, [](char character) {
        auto byte = static_cast<unsigned char>(character);
        if (byte == '"' || byte == '\\' || byte == '\n' || byte == '\t' || byte == '/')
            return size_t { 2 };
        return byte < ' ' || byte > '~' ? escapedBytes : size_t { 1 };
    });
}

size_t estimatedSize(const Tenant& tenant)
{
    constexpr size_t digestBytes = 64 + 3;
    return recordOverheadBytes + length(tenant.name) + jsonLength(tenant.problem) + tenant.keyDigests.size() * digestBytes;
}

size_t estimatedSize(const Rumor& rumor)
{
    return recordOverheadBytes + std::visit([](const auto& record) { return textLength(record); }, rumor);
}

size_t estimatedSize(const MessageBody& message)
{
    return messageOverheadBytes + std::visit([](const auto& body) { return bodySize(body); }, message);
}

}
