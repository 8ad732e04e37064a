#include <LibControl/ControlChannel.h>

#include <LibControl/Compression.h>

namespace Control {

namespace {

    constexpr std::string_view messagePurpose = "fulmar-message-1";

}

ControlChannel::ControlChannel(const std::string& fleetKey, Model::InstanceId self, Model::Incarnation startIncarnation, Model::Endpoint controlEndpoint)
    : m_signer(fleetKey)
    , m_self(std::move(self))
    , m_startIncarnation(startIncarnation)
    , m_controlEndpoint(std::move(controlEndpoint))
{
}

SignedMessage ControlChannel::seal(const Model::Endpoint& to, Model::Incarnation currentIncarnation, Decision::MessageBody body, Model::Revision routesVersion)
{
    Envelope envelope;
    envelope.to = to;
    envelope.senderStart = m_startIncarnation;
    envelope.sequence = ++m_lastSequence;
    envelope.message = { m_self, currentIncarnation, m_controlEndpoint, std::move(body), routesVersion };
    auto text = compress(m_codec.encode(envelope));
    auto signature = m_signer.sign(messagePurpose, text);
    ++m_counters.messagesSent;
    m_counters.bytesSent += text.size();
    return { std::move(text), std::move(signature) };
}

Decision::Message ControlChannel::open(const SignedMessage& message)
{
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += message.text.size();
    try {
        return verifyAndDecode(message);
    } catch (const ControlError& error) {
        ++m_counters.refused[static_cast<size_t>(error.refusal())];
        throw;
    }
}

Decision::Message ControlChannel::verifyAndDecode(const SignedMessage& message)
{
    if (message.text.size() > maximumMessageBytes)
        throw ControlError(Refusal::Oversized, "unknown", std::to_string(message.text.size()) + " bytes");
    if (!m_signer.isValid(messagePurpose, message.text, message.signature))
        throw ControlError(Refusal::BadSignature, "unknown", "the signature doesn't match");

    auto envelope = m_codec.decode(decompress(message.text, maximumMessageBytes));
    const auto& sender = envelope.message.from;
    if (envelope.to != m_controlEndpoint)
        throw ControlError(Refusal::WrongReceiver, sender.value(), "addressed to " + envelope.to.toString());
    if (!m_replayGuard.accept(sender, envelope.senderStart, envelope.sequence))
        throw ControlError(Refusal::Replayed, sender.value(), "sequence " + std::to_string(envelope.sequence));
    return std::move(envelope.message);
}

}
