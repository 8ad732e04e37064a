#pragma once

#include <LibTransport/AnswerFraming.h>
#include <LibTransport/HttpMessage.h>
#include <LibTransport/PicoHttpParser.h>

#include <cstddef>
#include <span>
#include <string>

namespace Transport {

enum class AnswerState {
    Incomplete,
    Whole,
    Broken,
};

// Reads one answer from the bytes of a connection, by the HTTP library's parser.
//
// The library's own client can't be used: it takes a chunked answer that is cut between two chunks for a whole
// one, sets no bound on the head, and stops the process on a Transfer-Encoding or Content-Length that it can't read.
class AnswerReader {
public:
    AnswerReader(bool isHeadRequest, uint64_t maximumBytes);

    // Takes the bytes that came and weren't taken yet; decodes them in place. Gives how many it took.
    size_t read(std::span<char> bytes);

    AnswerState state() const { return m_state; }
    // Why the answer is broken.
    const std::string& problem() const { return m_problem; }
    // Whether the connection may carry another request after this whole answer.
    bool isPersistent() const { return m_isPersistent; }
    // Bytes that the answer takes: the whole body if its length is known, else what a buffer takes that grows.
    uint64_t neededBytes() const;
    HttpResponse takeResponse() { return std::move(m_response); }

private:
    size_t readHead(std::span<char>);
    void takeHead(int minorVersion, int status, std::span<const phr_header>);
    size_t readBody(std::span<char>);
    size_t readSizedBody(std::span<char>);
    size_t readChunkedBody(std::span<char>);
    size_t breakOff(std::string problem);

    bool m_isHeadRequest;
    uint64_t m_maximumBytes;
    uint64_t m_takenBytes { 0 };
    AnswerState m_state { AnswerState::Incomplete };
    bool m_hasHead { false };
    bool m_isPersistent { false };
    size_t m_parsedHeadBytes { 0 };
    uint64_t m_missingBytes { 0 };
    AnswerFraming m_framing { AnswerFraming::NoBody };
    phr_chunked_decoder m_decoder {};
    HttpResponse m_response;
    std::string m_problem;
};

}
