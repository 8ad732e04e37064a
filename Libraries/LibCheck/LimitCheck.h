#pragma once

#include <LibCheck/ConfigurationCheck.h>

namespace Check {

// Finds limits of a table that contradict each other or the settings of the processes.
void findTableConflicts(const TableDocument&, const ProcessTerms&, Findings&);

// The same for the profiles, the default one included.
void findProfileConflicts(const Configuration&, const ProcessTerms&, Findings&);

}
