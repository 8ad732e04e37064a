#pragma once

#include <cstdint>
#include <ostream>
#include <rapidcheck.h>

namespace Decision {

// One step of a randomly generated schedule. The test interprets `choice` and `value` according to the kind of step and
// to what is possible in its current state.
template <typename Kind>
struct ScheduleStep {
    Kind kind {};
    uint32_t choice { 0 };
    uint32_t value { 0 };

    friend std::ostream& operator<<(std::ostream& stream, const ScheduleStep& step)
    {
        return stream << "{" << static_cast<int>(step.kind) << ", " << step.choice << ", " << step.value << "}";
    }
};

template <typename Kind>
rc::Gen<ScheduleStep<Kind>> scheduleStep(rc::Gen<Kind> kind)
{
    using Step = ScheduleStep<Kind>;
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, std::move(kind)), rc::gen::set(&Step::choice, rc::gen::inRange<uint32_t>(0, 1000)),
        rc::gen::set(&Step::value, rc::gen::inRange<uint32_t>(0, 10'000)));
}

}
