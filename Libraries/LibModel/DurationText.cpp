#include <LibModel/DurationText.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace Model {

namespace {

    struct DurationUnit {
        std::string_view suffix;
        Duration length;
    };

    constexpr std::array durationUnits {
        DurationUnit { "h", std::chrono::hours(1) },
        DurationUnit { "min", std::chrono::minutes(1) },
        DurationUnit { "s", std::chrono::seconds(1) },
        DurationUnit { "ms", std::chrono::milliseconds(1) },
        DurationUnit { "us", Duration(1) },
    };

}

std::string formatDuration(Duration duration)
{
    auto unit = std::ranges::find_if(durationUnits, [&](const DurationUnit& candidate) { return duration % candidate.length == Duration::zero(); });
    if (duration == Duration::zero())
        return "0s";
    return std::to_string(duration / unit->length) + std::string(unit->suffix);
}

std::optional<Duration> parseDuration(std::string_view text)
{
    auto unitBegin = std::ranges::find_if(text, [](char character) { return character < '0' || character > '9'; }) - text.begin();
    int64_t count = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + unitBegin, count);
    bool hasCount = error == std::errc() && end == text.data() + unitBegin;
    auto unit = std::ranges::find(durationUnits, text.substr(unitBegin), &DurationUnit::suffix);
    if (!hasCount || unit == durationUnits.end())
        return std::nullopt;
    if (count > std::numeric_limits<int64_t>::max() / unit->length.count())
        return std::nullopt;
    return count * unit->length;
}

}
