#pragma once

#include <string>

// Public header of libgateway, which runs entries and control VMs. They use the dialect of the
// surrounding platform. A process runs all its tasks on one thread, except for the disk writes of a
// control VM.

namespace Trefoil {

// Runs a process of the role 'entry' or 'control' until a planned stop is complete. With
// `checkOnly` it only prints the findings in the settings. Returns the exit code.
int runGateway(const std::string &role, const std::string &settingsPath, bool checkOnly);

} // namespace Trefoil
