#include <LibDecision/Membership/RecordKey.h>

#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Decision {

namespace {

    // No id contains this character, so different ids never give the same joined name.
    constexpr char separator = '\0';

    RecordKey key(const MemberRecord& record)
    {
        return { RecordKind::Member, record.instance.value() };
    }

    RecordKey key(const BackendRecord& record)
    {
        return { RecordKind::Backend, record.id.value() };
    }

    RecordKey key(const HealthReport& report)
    {
        return { RecordKind::Health, report.backend.value() + separator + report.observer.value() };
    }

    RecordKey key(const CrashReport& report)
    {
        auto fingerprint = std::to_string(report.fingerprint.high) + separator + std::to_string(report.fingerprint.low);
        auto victim = report.victim.value() + separator + std::to_string(report.victimIncarnation.value());
        return { RecordKind::Crash, fingerprint + separator + victim };
    }

    RecordKey key(const ClaimHolder& holder)
    {
        return { RecordKind::Claim, holder.service.value() + separator + std::to_string(holder.partition) };
    }

    RecordKey key(const ProfileRevision& revision)
    {
        return { RecordKind::Profile, revision.name.value() };
    }

    // Serializes a record's fields so that no two different records have the same bytes, and hashes the result.
    class FieldHasher {
    public:
        FieldHasher& add(uint64_t number)
        {
            m_bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
            return *this;
        }

        FieldHasher& add(double number) { return add(std::bit_cast<uint64_t>(number)); }

        FieldHasher& add(const std::string& text)
        {
            add(uint64_t { text.size() });
            m_bytes += text;
            return *this;
        }

        template <typename Tag>
        FieldHasher& add(const StrongString<Tag>& string) { return add(string.value()); }
        template <typename Tag>
        FieldHasher& add(StrongNumber<Tag> number) { return add(number.value()); }
        template <typename Enum>
        requires std::is_enum_v<Enum> FieldHasher& add(Enum value) { return add(static_cast<uint64_t>(value)); }
        FieldHasher& add(const Endpoint& endpoint) { return add(endpoint.address).add(uint64_t { endpoint.port }); }

        uint64_t hash() const { return XXH3_64bits(m_bytes.data(), m_bytes.size()); }

    private:
        std::string m_bytes;
    };

    void addFields(FieldHasher& hasher, const MemberRecord& record)
    {
        hasher.add(record.instance).add(record.incarnation).add(record.zone).add(record.region);
        hasher.add(record.control).add(record.callers).add(record.state);
    }

    void addFields(FieldHasher& hasher, const BackendRecord& record)
    {
        hasher.add(record.id).add(record.service).add(record.profile).add(record.sidecar).add(record.sidecarIncarnation);
        hasher.add(record.incarnation).add(record.version).add(uint64_t { record.slots }).add(record.weight).add(record.phase);
        hasher.add(uint64_t { record.isLeaving });
    }

    void addFields(FieldHasher& hasher, const HealthReport& report)
    {
        hasher.add(report.backend).add(report.backendIncarnation).add(report.observer);
        hasher.add(uint64_t { report.isFromSidecar }).add(report.suspicion).add(report.version);
    }

    void addFields(FieldHasher& hasher, const CrashReport& report)
    {
        hasher.add(report.fingerprint.high).add(report.fingerprint.low).add(report.victim).add(report.victimIncarnation);
        // Without the age, which differs between copies of the same report.
        hasher.add(uint64_t { report.ranAlone }).add(uint64_t { report.isCleared });
    }

    void addFields(FieldHasher& hasher, const ClaimHolder& holder)
    {
        hasher.add(holder.service).add(uint64_t { holder.partition }).add(holder.holder).add(holder.holderIncarnation).add(holder.epoch);
    }

    void addFields(FieldHasher& hasher, const ProfileRevision& revision)
    {
        hasher.add(revision.name).add(revision.revision).add(revision.publishId).add(revision.author).add(revision.document);
    }

}

RecordKey keyOf(const Rumor& rumor)
{
    return std::visit([](const auto& record) { return key(record); }, rumor);
}

uint64_t stableHash(const RecordKey& key)
{
    return FieldHasher().add(key.kind).add(key.name).hash();
}

uint64_t contentHash(const Rumor& rumor)
{
    FieldHasher hasher;
    hasher.add(uint64_t { rumor.index() });
    std::visit([&](const auto& record) { addFields(hasher, record); }, rumor);
    return hasher.hash();
}

bool isTombstone(const Rumor& rumor)
{
    if (const auto* member = std::get_if<MemberRecord>(&rumor))
        return member->state == MemberState::Dead;
    if (const auto* backend = std::get_if<BackendRecord>(&rumor))
        return backend->phase == BackendPhase::Gone;
    return false;
}

bool isReconciled(const Rumor& rumor)
{
    return !std::holds_alternative<HealthReport>(rumor) && !std::holds_alternative<CrashReport>(rumor);
}

}
