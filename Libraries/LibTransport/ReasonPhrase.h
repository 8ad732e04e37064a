#pragma once

#include <cstdint>

namespace Transport {

// Gives the reason phrase of an HTTP status, or a generic one.
// https://www.rfc-editor.org/rfc/rfc9110#section-15
const char* reasonPhrase(uint16_t status);

}
