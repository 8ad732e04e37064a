#include "QuotaSchedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Testing;

namespace {

rc::Gen<QuotaFault> anyFault()
{
    return rc::gen::build<QuotaFault>(
        rc::gen::set(&QuotaFault::kind, rc::gen::map(rc::gen::inRange(0, static_cast<int>(QuotaFaultKind::ChangeQuotas) + 1), [](int kind) { return static_cast<QuotaFaultKind>(kind); })),
        rc::gen::set(&QuotaFault::at, rc::gen::map(rc::gen::inRange(0, 18000), [](int at) { return Duration(at * 1ms); })),
        rc::gen::set(&QuotaFault::length, rc::gen::map(rc::gen::inRange(50, 12000), [](int length) { return Duration(length * 1ms); })),
        rc::gen::set(&QuotaFault::first, rc::gen::inRange<size_t>(0, 2 * QuotaSchedule::processCount)),
        rc::gen::set(&QuotaFault::second, rc::gen::inRange<size_t>(0, QuotaSchedule::processCount)));
}

std::ostream& describe(std::ostream& out, const std::vector<QuotaFault>& faults)
{
    for (const auto& fault : faults)
        out << "kind " << static_cast<int>(fault.kind) << " at " << fault.at / 1ms << " ms for " << fault.length / 1ms << " ms, " << fault.first << ", " << fault.second << '\n';
    return out;
}

}

// Guards against two holders that grant at the same time, tokens that are used late, and buckets that a new holder
// begins with.
RC_GTEST_PROP(QuotaProperties, NoWindowHasMoreRequestsThanTheQuotaAllows, ())
{
    auto faults = *rc::gen::resize(12, rc::gen::container<std::vector<QuotaFault>>(rc::gen::resize(rc::kNominalSize, anyFault())));
    QuotaSchedule schedule(*rc::gen::arbitrary<uint64_t>(), faults);
    schedule.run();
    auto excess = schedule.largestExcess();
    describe(RC_LOG(), faults) << "excess " << excess << '\n';
    RC_ASSERT(excess <= 0);
}

// A fault that has ended must not leave a partition without a holder.
RC_GTEST_PROP(QuotaProperties, TenantsAreServedAgainAfterTheFaults, ())
{
    auto faults = *rc::gen::resize(8, rc::gen::container<std::vector<QuotaFault>>(rc::gen::resize(rc::kNominalSize, anyFault())));
    for (auto& fault : faults) {
        fault.at /= 3;
        fault.length /= 2;
        fault.kind = fault.kind == QuotaFaultKind::ChangeQuotas ? QuotaFaultKind::Kill : fault.kind;
    }
    QuotaSchedule schedule(*rc::gen::arbitrary<uint64_t>(), faults);
    schedule.run();
    auto share = schedule.shareServed(18s);
    describe(RC_LOG(), faults) << "share " << share << '\n';
    RC_ASSERT(share >= 0.8);
}
