#pragma once

#include "libruntime/events.h"

// One JSON object a line on standard output. Writing never blocks: lines that the reader does not
// take in time are dropped and counted, and each event has a largest rate.

namespace Trefoil {

// Sends all later events to standard output. `node` names the process in each line.
void startStructuredLog(const std::string &node);

bool isStructuredLogStarted();

void writeStructuredLog(const EventSpec &spec, EventFields fields);

// Passes on what is buffered, as far as the reader takes it. Call a few times a second.
void flushStructuredLog();

} // namespace Trefoil
