#pragma once

#include "libruntime/events.h"

// Log on standard output with one JSON object per line. Writing never blocks: when the reader is
// too slow, lines are dropped and counted, and the rate of lines is limited for each event.

namespace Trefoil {

// Sends all later events to standard output and makes it non-blocking. `node` names the process in
// each line.
void startStructuredLog(const std::string &node);

bool isStructuredLogStarted();

// Buffers a line. The line is suppressed when the event has reached its rate limit, and dropped
// when the buffer is full. The next line that is buffered reports the numbers of both.
void writeStructuredLog(const EventSpec &spec, EventFields fields);

// Writes the buffered lines as far as standard output accepts them. Must be called a few times per
// second.
void flushStructuredLog();

} // namespace Trefoil
