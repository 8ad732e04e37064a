#include "RetryLoad.h"

#include <gtest/gtest.h>

using namespace Testing;

TEST(RetryLoad, RequestsThatBackendServersRefuseAsMisdirectedCountAsArrivals)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        RetryLoad load(seed, { { RetryFaultKind::Misdirects, 1s, 12s, 0, 8 } });
        load.run();
        EXPECT_LE(load.largestExcess(), 0) << "seed " << seed;
    }
}
