#pragma once

#include <LibTransport/H2O.h>

#include <cstddef>

namespace Transport {

// Gives the memory of whole pages in the range back to the system. What they hold is lost.
void dropPages(char* begin, size_t bytes);

// Gives back what an empty buffer has grown to. The library would keep it as long as the connection.
void shrinkEmptyBuffer(h2o_buffer_t*&);

// The same for a buffer that holds little by now. Nothing may point into it.
void shrinkBuffer(h2o_buffer_t*&);

}
