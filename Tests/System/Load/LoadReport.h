#pragma once

#include "LedgerCheck.h"
#include "LoadPlan.h"
#include "LoadRecord.h"

#include <ostream>
#include <vector>

namespace Load {

// Prints throughput, latencies against going direct, outcomes and violations.
void printReport(std::ostream&, const LoadPlan&, const std::vector<RequestRecord>&, const Ledger&, const TenantHistory&, const Violations&);

// The latency that a share of the values doesn't exceed; zero if there are none. Reorders the values.
Duration quantile(std::vector<Duration>&, double share);

}
