#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Error.h>

namespace Control {

// Why a control message, a run order or an operator's call was refused.
enum class Refusal {
    Malformed,
    Oversized,
    UnknownVersion,
    BadSignature,
    // Addressed to another control endpoint.
    WrongReceiver,
    // Received before, too old to tell, or signed too far from the local clock.
    Replayed,
};

}

template <>
struct Model::EnumNames<Control::Refusal> {
    static constexpr std::array entries {
        EnumName { Control::Refusal::Malformed, "malformed" },
        EnumName { Control::Refusal::Oversized, "oversized" },
        EnumName { Control::Refusal::UnknownVersion, "unknown-version" },
        EnumName { Control::Refusal::BadSignature, "bad-signature" },
        EnumName { Control::Refusal::WrongReceiver, "wrong-receiver" },
        EnumName { Control::Refusal::Replayed, "replayed" },
    };
};

namespace Control {

// Thrown when input from another process is refused.
class ControlError : public Model::Error {
public:
    ControlError(Refusal refusal, const std::string& peer, const std::string& what)
        : Model::Error("read-control", peer, std::string(Model::nameOf(refusal)) + ": " + what)
        , m_refusal(refusal)
    {
    }

    Refusal refusal() const { return m_refusal; }

private:
    Refusal m_refusal;
};

}
