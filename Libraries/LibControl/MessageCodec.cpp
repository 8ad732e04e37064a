#include <LibControl/MessageCodec.h>

#include <LibControl/JsonArchive.h>
#include <LibControl/MessageFields.h>

#include <algorithm>

namespace Control {

namespace {

    // Lists the fields of an envelope except for the message body, which encode() and decode() handle because its kind
    // is the JSON-RPC method.
    template <typename Archive>
    void describe(Archive& archive, Envelope& value)
    {
        archive.field("version", value.version);
        archive.field("to", value.to);
        archive.field("senderStart", value.senderStart);
        archive.field("sequence", value.sequence);
        archive.field("from", value.message.from);
        archive.field("fromIncarnation", value.message.fromIncarnation);
        archive.field("fromControl", value.message.fromControl);
        archive.field("routes", value.message.routesVersion);
    }

    template <typename Body>
    std::vector<std::string> kindsOf();

    template <typename... Alternatives>
    std::vector<std::string> kindsOf(const std::variant<Alternatives...>*)
    {
        return { kindOf(Alternatives {})... };
    }

    template <typename... Alternatives>
    void readBody(const std::string& kind, const Json::Value& json, std::variant<Alternatives...>& body)
    {
        auto readAs = [&]<typename Alternative>(Alternative alternative) {
            if (kind != kindOf(alternative))
                return false;
            JsonReader::read(json, alternative);
            body = std::move(alternative);
            return true;
        };
        (readAs(Alternatives {}) || ...);
    }

    void checkVersion(const Json::Value& parameters)
    {
        if (!parameters.isObject() || !parameters["version"].isUInt())
            throw ControlError(Refusal::Malformed, "unknown", "no version");
        if (parameters["version"].asUInt() != protocolVersion)
            throw ControlError(Refusal::UnknownVersion, "unknown", parameters["version"].asString());
    }

}

MessageCodec::MessageCodec()
    : m_reader(kindsOf(static_cast<const Decision::MessageBody*>(nullptr)))
{
}

std::string MessageCodec::encode(const Envelope& envelope) const
{
    JsonWriter writer;
    describe(writer, const_cast<Envelope&>(envelope));
    auto parameters = writer.take();
    return std::visit([&](const auto& body) {
        parameters["body"] = JsonWriter::write(body);
        return makeNotification(kindOf(body), parameters);
    },
        envelope.message.body);
}

Envelope MessageCodec::decode(const std::string& text)
{
    if (text.size() > maximumMessageBytes)
        throw ControlError(Refusal::Oversized, "unknown", std::to_string(text.size()) + " bytes");

    bool isAscii = std::ranges::none_of(text, [](char character) { return static_cast<unsigned char>(character) > 127; });
    if (!isAscii)
        throw ControlError(Refusal::Malformed, "unknown", "not ASCII");

    Envelope envelope;
    bool wasRead = m_reader.read(text, [&](const std::string& method, const Json::Value& parameters) {
        checkVersion(parameters);
        JsonReader reader(parameters);
        describe(reader, envelope);
        if (!parameters.isMember("body"))
            throw ControlError(Refusal::Malformed, envelope.message.from.value(), "no body");
        readBody(method, parameters["body"], envelope.message.body);
    });
    if (!wasRead)
        throw ControlError(Refusal::Malformed, "unknown", "not a notification of a known kind");
    return envelope;
}

}
