#pragma once

#include <LibCheck/Configuration.h>
#include <LibCheck/Finding.h>

namespace Check {

// Finds entries of a table that no request can ever reach.
void findMismatches(const TableDocument&, Findings&);

}
