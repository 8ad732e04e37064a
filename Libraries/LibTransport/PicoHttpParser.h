#pragma once

#include <cstddef>
#include <sys/types.h>

// The answer parser and chunk decoder of the HTTP library. It exports them, but its package lacks their header.
// https://github.com/h2o/picohttpparser
// NOLINTBEGIN(readability-identifier-naming)
extern "C" {

struct phr_header {
    const char* name;
    size_t name_len;
    const char* value;
    size_t value_len;
};

struct phr_chunked_decoder {
    size_t bytes_left_in_chunk;
    char consume_trailer;
    char _hex_count;
    char _state;
};

// Gives the length of the head, -1 if it is malformed or -2 if it is incomplete.
int phr_parse_response(const char* buf, size_t len, int* minor_version, int* status, const char** msg, size_t* msg_len,
    phr_header* headers, size_t* num_headers, size_t last_len);

// Decodes in place and sets the size to that of the decoded bytes. Gives the number of bytes after the end,
// -1 if the encoding is malformed or -2 if it is incomplete.
ssize_t phr_decode_chunked(phr_chunked_decoder* decoder, char* buf, size_t* bufsz);
}
// NOLINTEND(readability-identifier-naming)
