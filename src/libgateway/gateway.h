#pragma once

#include <string>

// Public header of libgateway: entries and control VMs that speak a platform's dialect and run all
// duties of a process on one thread.

namespace Trefoil {

// Runs a process of the given role, 'entry' or 'control', until a planned stop is done. With
// `checkOnly` it reports the findings of the settings and ends. Returns the exit code.
int runGateway(const std::string &role, const std::string &settingsPath, bool checkOnly);

} // namespace Trefoil
