#pragma once

#include <LibControl/MessageCodec.h>

#include <rapidcheck.h>

// RapidCheck generators of arbitrary control messages.
namespace Control::Testing {

using namespace Decision;

template <typename Name>
rc::Gen<Name> anyName()
{
    return rc::gen::map(rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)), [](std::string text) { return Name(std::move(text)); });
}

template <typename Number>
rc::Gen<Number> anyNumber()
{
    return rc::gen::map(rc::gen::arbitrary<uint64_t>(), [](uint64_t value) { return Number(value); });
}

inline Endpoint anyEndpoint()
{
    return { *rc::gen::element<std::string>("127.0.0.1", "10.1.2.3", "::1"), *rc::gen::inRange<uint16_t>(1, 65535) };
}

template <typename Enum>
Enum anyEnumValue()
{
    const auto& entries = EnumNames<Enum>::entries;
    return entries[*rc::gen::inRange<size_t>(0, entries.size())].value;
}

inline Fingerprint anyFingerprint()
{
    return { *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>() };
}

inline MemberRecord anyMember()
{
    return { *anyName<InstanceId>(), *anyNumber<Incarnation>(), *anyName<ZoneName>(), *anyName<RegionName>(), anyEndpoint(), anyEndpoint(), anyEnumValue<MemberState>() };
}

inline BackendRecord anyBackend()
{
    return { *anyName<BackendId>(), *anyName<ServiceName>(), *anyName<ProfileName>(), *anyName<InstanceId>(), *anyNumber<Incarnation>(),
        *anyNumber<Incarnation>(), *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange(0, 1000) / 7.0, anyEnumValue<BackendPhase>(), *rc::gen::arbitrary<bool>() };
}

inline Rumor anyRumor()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return anyMember();
    case 1:
        return anyBackend();
    case 2:
        return HealthReport { *anyName<BackendId>(), *anyNumber<Incarnation>(), *anyName<InstanceId>(), *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 100) / 100.0, *rc::gen::arbitrary<uint64_t>() };
    case 3:
        return CrashReport { anyFingerprint(), *anyName<BackendId>(), *anyNumber<Incarnation>(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), Duration(*rc::gen::inRange(0, 1'000'000)) };
    case 4:
        return ClaimHolder { *anyName<ServiceName>(), *rc::gen::arbitrary<uint32_t>(), *anyName<InstanceId>(), *anyNumber<Incarnation>(), *anyNumber<ClaimEpoch>() };
    default:
        return ProfileRevision { *anyName<ProfileName>(), *anyNumber<Revision>(), *anyName<PublishId>(), "author", (*anyName<RequestId>()).value() };
    }
}

inline std::vector<Rumor> anyRumors()
{
    std::vector<Rumor> rumors(*rc::gen::inRange<size_t>(0, 4));
    for (auto& rumor : rumors)
        rumor = anyRumor();
    return rumors;
}

inline ClaimEntry anyClaimEntry()
{
    return { *anyName<AccountId>(), *anyName<IdempotencyKey>(), anyFingerprint(), *anyName<RequestId>(), anyEnumValue<Outcome>(), *rc::gen::arbitrary<bool>(),
        *anyName<InstanceId>(), *anyNumber<Incarnation>(), *rc::gen::arbitrary<uint64_t>(), Duration(*rc::gen::inRange(0, 1'000'000)) };
}

inline RouteTablePart anyRouteTablePart()
{
    RouteTable table;
    table.version = *anyNumber<Revision>();
    table.routes.push_back({ .name = "r", .host = (*anyName<AccountId>()).value(), .pathPrefix = "/", .isPublic = *rc::gen::arbitrary<bool>(), .hasLargeBodies = *rc::gen::arbitrary<bool>(), .problem = (*anyName<AccountId>()).value() });
    auto digests = rc::gen::container<std::vector<std::string>>(rc::gen::just(std::string(64, 'a')));
    table.tenants.push_back({ *anyName<AccountId>(), *digests, *rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange(0, 1000) / 7.0, *rc::gen::inRange(0, 1000) / 7.0, (*anyName<AccountId>()).value(), *rc::gen::arbitrary<bool>() });
    table.omissions = { (*anyName<AccountId>()).value() };
    return { 2, 7, std::move(table) };
}

inline MessageBody anyBody()
{
    auto sequence = *rc::gen::arbitrary<uint64_t>();
    switch (*rc::gen::inRange(0, 17)) {
    case 0:
        return Ping { sequence, anyRumors() };
    case 1:
        return Ack { sequence, anyRumors() };
    case 2:
        return IndirectPing { sequence, *anyName<InstanceId>(), anyEndpoint() };
    case 3:
        return IndirectAck { sequence, *anyName<InstanceId>() };
    case 4:
        return Gossip { anyRumors() };
    case 5:
        return Join { anyMember() };
    case 6:
        return SyncDigest { *rc::gen::arbitrary<std::vector<uint64_t>>(), *rc::gen::arbitrary<bool>() };
    case 7:
        return SyncRecords { *rc::gen::arbitrary<std::vector<uint32_t>>(), anyRumors(), *rc::gen::arbitrary<bool>() };
    case 8:
        return ClaimRequest { sequence, *anyName<ServiceName>(), 3, *anyName<AccountId>(), *anyName<IdempotencyKey>(), anyFingerprint(), *anyName<RequestId>(), Duration(5) };
    case 9:
        return ClaimReply { sequence, *anyNumber<Incarnation>(), anyEnumValue<ClaimVerdict>(), Duration(7), *anyNumber<ClaimEpoch>(), *anyName<InstanceId>() };
    case 10:
        return ClaimOutcome { sequence, *anyName<ServiceName>(), 2, *anyName<AccountId>(), *anyName<IdempotencyKey>(), *anyName<RequestId>(), anyEnumValue<Outcome>() };
    case 11:
        return anyRouteTablePart();
    case 12:
        return ConfigurationProofRequest { sequence, *anyNumber<Incarnation>() };
    case 13: {
        auto age = *rc::gen::arbitrary<bool>() ? std::optional(Duration(*rc::gen::inRange(0, 10'000'000))) : std::nullopt;
        return ConfigurationProofReply { sequence, *anyNumber<Incarnation>(), *anyNumber<Revision>(), age, *rc::gen::arbitrary<uint64_t>() };
    }
    case 14:
        return QuotaRequest { sequence, 5, { { *anyName<AccountId>(), 2, 3 } }, *rc::gen::arbitrary<bool>(), *anyNumber<Incarnation>() };
    case 15:
        return QuotaReply { sequence, *anyNumber<Incarnation>(), 6, *rc::gen::arbitrary<bool>(), *anyName<InstanceId>(), { { *anyName<AccountId>(), 1, 2, *rc::gen::arbitrary<bool>(), Duration(8), Duration(9) } } };
    default:
        return ClaimHandover { *anyName<ServiceName>(), 1, *anyNumber<ClaimEpoch>(), 4, *rc::gen::arbitrary<bool>(), { anyClaimEntry() } };
    }
}

inline Envelope anyEnvelope()
{
    Envelope envelope;
    envelope.to = anyEndpoint();
    envelope.senderStart = *anyNumber<Incarnation>();
    envelope.sequence = *rc::gen::arbitrary<uint64_t>();
    envelope.message = { *anyName<InstanceId>(), *anyNumber<Incarnation>(), anyEndpoint(), anyBody() };
    return envelope;
}

}
