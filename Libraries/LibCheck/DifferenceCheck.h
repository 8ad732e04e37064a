#pragma once

#include <LibCheck/ConfigurationCheck.h>

namespace Check {

// Lists what publishing would change. Profiles in force that the candidate lacks aren't listed, because publishing
// others doesn't remove them.
void findDifferences(const Configuration&, const InForce&, Findings&);

}
