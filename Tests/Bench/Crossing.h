#pragma once

#include <cstdint>
#include <ostream>

namespace Bench {

// Prints how many requests are answered within their latency objective, and how many bytes cross between availability
// zones, if ZoneCrossing decides, compared with simpler rules.
void measureCrossing(std::ostream&, uint64_t seed);

}
