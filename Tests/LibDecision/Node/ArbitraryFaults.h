#pragma once

#include "FaultyLoad.h"

#include <rapidcheck.h>

namespace Testing {

inline std::vector<LoadFault> arbitraryLoadFaults()
{
    constexpr int lastFaultKind = static_cast<int>(LoadFaultKind::SaysItLeaves);
    std::vector<LoadFault> faults(*rc::gen::inRange<size_t>(1, 8));
    for (auto& fault : faults) {
        fault.kind = static_cast<LoadFaultKind>(*rc::gen::inRange(0, lastFaultKind + 1));
        fault.at = std::chrono::milliseconds(*rc::gen::inRange(0, 12'000));
        fault.length = std::chrono::milliseconds(*rc::gen::inRange(100, 12'000));
        fault.first = *rc::gen::inRange<size_t>(0, 16);
        fault.second = *rc::gen::inRange<size_t>(0, 16);
    }
    return faults;
}

}
