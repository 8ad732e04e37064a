#include <LibDecision/Claims/PartitionRecord.h>

#include <charconv>
#include <sstream>
#include <vector>

namespace Decision {

namespace {

    constexpr size_t fieldCount = 6;

    std::vector<std::string> linesOf(std::string_view text)
    {
        std::vector<std::string> lines;
        std::istringstream stream { std::string(text) };
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    std::optional<uint64_t> parseNumber(const std::string& text)
    {
        uint64_t value = 0;
        auto end = text.data() + text.size();
        auto result = std::from_chars(text.data(), end, value);
        if (result.ec != std::errc {} || result.ptr != end)
            return std::nullopt;
        return value;
    }

}

std::optional<PartitionRecord> PartitionRecord::parse(std::string_view text)
{
    auto lines = linesOf(text);
    if (lines.size() != fieldCount)
        return std::nullopt;

    auto epoch = parseNumber(lines[0]);
    auto incarnation = parseNumber(lines[2]);
    auto state = enumFromName<PartitionRecordState>(lines[3]);
    auto retention = parseNumber(lines[5]);
    if (!epoch || !incarnation || !state || !retention)
        return std::nullopt;
    return PartitionRecord { ClaimEpoch(*epoch), InstanceId(lines[1]), Incarnation(*incarnation), *state, InstanceId(lines[4]), Duration(*retention) };
}

// One field per line: epoch, holder, holder's incarnation, state, successor, retention in microseconds.
std::string PartitionRecord::format() const
{
    std::ostringstream stream;
    stream << epoch << '\n'
           << holder << '\n'
           << holderIncarnation << '\n'
           << nameOf(state) << '\n'
           << successor << '\n'
           << retention.count() << '\n';
    return stream.str();
}

std::string platformPrefix(const PartitionId& id)
{
    return "claims/" + id.service.value() + "/" + std::to_string(id.partition) + "/";
}

std::string holdKey(const PartitionId& id)
{
    return platformPrefix(id) + "hold";
}

std::string recordKey(const PartitionId& id)
{
    return platformPrefix(id) + "record";
}

}
