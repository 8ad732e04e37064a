#pragma once

#include <LibModel/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Model {

// Writes a duration with the largest unit that keeps it whole.
std::string formatDuration(Duration);

// Reads a duration with its unit; gives nothing if the text is no duration.
std::optional<Duration> parseDuration(std::string_view);

}
