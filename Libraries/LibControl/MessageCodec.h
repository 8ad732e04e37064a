#pragma once

#include <LibControl/ControlError.h>
#include <LibControl/RpcFraming.h>
#include <LibDecision/Message.h>

#include <cstdint>
#include <string>

namespace Control {

// Version of the control protocol. Messages of any other version are refused.
constexpr uint32_t protocolVersion = 1;

// Maximum length of a control message in bytes, both as transmitted and as decompressed text.
constexpr size_t maximumMessageBytes = 256 * 1024;

// A control message with the fields that the receiver needs to verify it.
struct Envelope {
    uint32_t version { protocolVersion };
    // Control endpoint of the receiver. It is checked, so that a message can't be redirected to another process.
    Model::Endpoint to;
    // The sender's incarnation at its start. Together with the sequence number, it identifies the message.
    Model::Incarnation senderStart;
    uint64_t sequence { 0 };
    Decision::Message message;

    bool operator==(const Envelope&) const = default;
};

// Encodes envelopes as JSON-RPC notifications and decodes them. The JSON-RPC method is the kind of the message body.
class MessageCodec {
public:
    MessageCodec();

    std::string encode(const Envelope&) const;
    // Throws ControlError if the text is too long, or isn't a valid message of this protocol version.
    Envelope decode(const std::string& text);

private:
    NotificationReader m_reader;
};

}
