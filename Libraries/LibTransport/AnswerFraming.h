#pragma once

#include <LibTransport/HttpMessage.h>

#include <string>

namespace Transport {

// How the end of an answer's body is known.
enum class AnswerFraming {
    NoBody,
    ContentLength,
    Chunked,
};

struct FramingVerdict {
    AnswerFraming framing { AnswerFraming::NoBody };
    // Bytes of the body, if the framing is ContentLength.
    uint64_t length { 0 };
    // Why the answer can't be trusted to be whole; empty if it can.
    std::string problem;
};

// Decides from an answer's head how its body ends. An answer that ends when the connection closes is a
// problem, since a cut one looks the same.
// https://www.rfc-editor.org/rfc/rfc9112#section-6.3
FramingVerdict judgeFraming(bool isHeadRequest, uint16_t status, const HeaderList&, uint64_t maximumBytes);

}
