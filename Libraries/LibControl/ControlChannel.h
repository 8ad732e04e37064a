#pragma once

#include <LibControl/MessageCodec.h>
#include <LibControl/ReplayGuard.h>
#include <LibControl/Signer.h>
#include <LibModel/Settings.h>

#include <array>
#include <string>

namespace Control {

// A control message in the form in which it is sent over HTTP.
struct SignedMessage {
    // JSON, as a zlib stream unless the text is too short for compression.
    std::string text;
    // Signature of the text as transmitted, in the format of Signer::sign().
    std::string signature;
};

// Counts of sent and received messages and their bytes as transmitted, and of refused messages by reason.
struct ChannelCounters {
    uint64_t messagesSent { 0 };
    uint64_t bytesSent { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t bytesReceived { 0 };
    // Indexed by Refusal.
    std::array<uint64_t, Model::EnumNames<Refusal>::entries.size()> refused {};
};

// Signs control messages to other members of the fleet and verifies received ones. A message is accepted only if its
// signature is valid, it is addressed to this process, its protocol version is supported and it isn't a replay.
class ControlChannel {
public:
    // The start incarnation is this process's incarnation at its start; together with a sequence number, it identifies
    // each message that this process sends.
    ControlChannel(const std::string& fleetKey, Model::InstanceId self, Model::Incarnation startIncarnation, Model::Endpoint controlEndpoint);

    // Encodes and signs a message for the process with the given control endpoint. Every call uses a new sequence
    // number.
    SignedMessage seal(const Model::Endpoint& to, Model::Incarnation currentIncarnation, Decision::MessageBody, Model::Revision routesVersion = {});
    // Verifies and decodes a message. Throws ControlError if it is refused; counts refusals by reason.
    Decision::Message open(const SignedMessage&);

    const ChannelCounters& counters() const { return m_counters; }

private:
    Decision::Message verifyAndDecode(const SignedMessage&);

    Signer m_signer;
    Model::InstanceId m_self;
    Model::Incarnation m_startIncarnation;
    Model::Endpoint m_controlEndpoint;
    MessageCodec m_codec;
    ReplayGuard m_replayGuard;
    uint64_t m_lastSequence { 0 };
    ChannelCounters m_counters;
};

}
