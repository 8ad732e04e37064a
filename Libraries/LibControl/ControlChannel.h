#pragma once

#include <LibControl/MessageCodec.h>
#include <LibControl/ReplayGuard.h>
#include <LibControl/Signer.h>
#include <LibModel/Settings.h>

#include <array>
#include <string>

namespace Control {

// A control message as it goes over HTTP.
struct SignedMessage {
    // JSON, or a zlib stream of it where that is shorter.
    std::string text;
    std::string signature;
};

// Counts messages of both directions and refusals by their kind.
struct ChannelCounters {
    uint64_t messagesSent { 0 };
    uint64_t bytesSent { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t bytesReceived { 0 };
    std::array<uint64_t, Model::EnumNames<Refusal>::entries.size()> refused {};
};

// Signs what this process sends to others of the fleet, and lets in only what another member sent to this process
// now: authentic, addressed to it, of a known version and not seen before.
class ControlChannel {
public:
    ControlChannel(const std::string& fleetKey, Model::InstanceId self, Model::Incarnation start, Model::Endpoint selfControl);

    SignedMessage seal(const Model::Endpoint& to, Model::Incarnation current, Decision::MessageBody, Model::Revision routesVersion = {});
    // Throws ControlError; every refusal is counted.
    Decision::Message open(const SignedMessage&);

    const ChannelCounters& counters() const { return m_counters; }

private:
    Decision::Message openChecked(const SignedMessage&);

    Signer m_signer;
    Model::InstanceId m_self;
    Model::Incarnation m_start;
    Model::Endpoint m_selfControl;
    MessageCodec m_codec;
    ReplayGuard m_replayGuard;
    uint64_t m_lastSequence { 0 };
    ChannelCounters m_counters;
};

}
