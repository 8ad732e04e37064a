#include <LibControl/RunEnvelope.h>

#include <LibControl/JsonArchive.h>
#include <LibControl/JsonText.h>
#include <LibControl/MessageFields.h>

namespace Control {

namespace {

    constexpr std::string_view orderPurpose = "fulmar-run-1";
    constexpr size_t signatureLength = 64;

}

template <typename Archive>
static void describe(Archive& archive, RunOrder& value)
{
    archive.field("to", value.to);
    archive.field("from", value.from);
    archive.field("senderStart", value.senderStart);
    archive.field("sequence", value.sequence);
    archive.field("backend", value.backend);
    archive.field("backendIncarnation", value.backendIncarnation);
    archive.field("request", value.request);
    archive.optionalField("isIdempotent", value.isIdempotent);
    archive.optionalField("latencyObjective", value.latencyObjective);
    archive.optionalField("priority", value.priority);
    archive.optionalField("longestWait", value.longestWait);
    archive.optionalField("isOnlyForFreeSlot", value.isOnlyForFreeSlot);
    archive.optionalField("isLastResort", value.isLastResort);
    archive.optionalField("arrival", value.arrival);
    archive.optionalField("knownLimit", value.knownLimit);
    archive.optionalField("isReplayOnly", value.isReplayOnly);
    archive.optionalField("attempt", value.attempt);
    archive.optionalField("firstSentAgo", value.firstSentAgo);
    archive.optionalField("receiverStart", value.receiverStart);
}

template <typename Archive>
static void describe(Archive& archive, RunResult& value)
{
    archive.field("outcome", value.outcome);
    archive.optionalField("reason", value.reason);
    archive.optionalField("step", value.step);
    archive.optionalField("peer", value.peer);
    archive.optionalField("serviceTime", value.serviceTime);
    archive.optionalField("load", value.load);
    archive.optionalField("outcomeKeeper", value.outcomeKeeper);
}

RunOrderChannel::RunOrderChannel(const std::string& fleetKey, Model::InstanceId self, Model::Incarnation startIncarnation, Model::Endpoint controlEndpoint)
    : m_signer(fleetKey)
    , m_self(std::move(self))
    , m_startIncarnation(startIncarnation)
    , m_controlEndpoint(std::move(controlEndpoint))
{
}

std::string RunOrderChannel::seal(RunOrder order)
{
    order.from = m_self;
    order.senderStart = m_startIncarnation;
    order.sequence = ++m_lastSequence;
    auto text = formatJson(JsonWriter::write(order));
    return m_signer.sign(orderPurpose, text) + text;
}

RunOrder RunOrderChannel::verify(std::string_view headerValue) const
{
    if (headerValue.size() < signatureLength)
        throw ControlError(Refusal::Malformed, "unknown", "the run order is too short");
    auto text = headerValue.substr(signatureLength);
    if (!m_signer.isValid(orderPurpose, text, headerValue.substr(0, signatureLength)))
        throw ControlError(Refusal::BadSignature, "unknown", "the run order's signature doesn't match");

    RunOrder order;
    JsonReader::read(parseJson(text), order);
    return order;
}

RunOrder RunOrderChannel::open(std::string_view headerValue)
{
    auto order = verify(headerValue);
    accept(order);
    return order;
}

void RunOrderChannel::accept(const RunOrder& order)
{
    if (order.to != m_controlEndpoint)
        throw ControlError(Refusal::WrongReceiver, order.from.value(), "addressed to " + order.to.toString());
    if (!m_replayGuard.accept(order.from, order.senderStart, order.sequence))
        throw ControlError(Refusal::Replayed, order.from.value(), "sequence " + std::to_string(order.sequence));
}

bool RunOrderChannel::mustForward(const RunOrder& order) const
{
    return order.to != m_controlEndpoint && order.firstSentAgo > Model::Duration::zero();
}

std::string encodeRunResult(const RunResult& result)
{
    return formatJson(JsonWriter::write(result));
}

RunResult decodeRunResult(std::string_view headerValue)
{
    RunResult result;
    JsonReader::read(parseJson(headerValue), result);
    return result;
}

}
