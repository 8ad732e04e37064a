#pragma once

#include <LibDecision/Message.h>
#include <LibModel/Backend.h>
#include <LibModel/StateChart.h>

#include <string_view>

// The state charts in Charts/ are embedded in the library as text and parsed when a process starts.
namespace Decision {

enum class ChartFile {
    Member,
    Backend,
    Standing,
    Request,
    ProfileRevision,
    Claim,
    Partition,
};

}

template <>
struct Model::EnumNames<Decision::ChartFile> {
    static constexpr std::array entries {
        EnumName { Decision::ChartFile::Member, "member" },
        EnumName { Decision::ChartFile::Backend, "backend" },
        EnumName { Decision::ChartFile::Standing, "standing" },
        EnumName { Decision::ChartFile::Request, "request" },
        EnumName { Decision::ChartFile::ProfileRevision, "profile-revision" },
        EnumName { Decision::ChartFile::Claim, "claim" },
        EnumName { Decision::ChartFile::Partition, "partition" },
    };
};

namespace Decision {

// Returns the YAML text of Charts/NAME.yaml, where NAME is the name of the enumerator.
std::string_view chartText(ChartFile);

// Parses an embedded chart and binds its states and events to the enumerations. Throws DocumentError if the chart is
// malformed or doesn't match the enumerations.
template <typename State, typename Event>
TypedChart<State, Event> loadChart(ChartFile file)
{
    return TypedChart<State, Event>(StateChart::parse(chartText(file), "Charts/" + std::string(nameOf(file)) + ".yaml"));
}

}
