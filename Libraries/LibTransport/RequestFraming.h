#pragma once

#include <LibTransport/H2O.h>

namespace Transport {

// Says whether an HTTP/1 request at the start of the buffer states its length twice, so that two
// recipients could take it for different requests. The library itself picks one of the statements.
// https://www.rfc-editor.org/rfc/rfc9112#section-6.3
bool hasAmbiguousFraming(const h2o_buffer_t&);

}
