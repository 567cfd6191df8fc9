#pragma once

#include "libruntime/events.h"

// Log on standard output with one JSON object per line. Writing never blocks: when the reader is
// too slow, lines are dropped and counted, and the rate of lines is limited for each event.

namespace Trefoil {

// Sends all later events to standard output and makes it non-blocking. `node` names the process in
// each line.
void startStructuredLog(const std::string &node);

bool isStructuredLogStarted();

// Buffers a line. The line is suppressed when its event has reached the rate limit, and dropped
// when the buffer is full. The next line that is buffered reports how many lines of its event were
// suppressed and how many lines of all events were dropped.
void writeStructuredLog(const EventSpec &spec, EventFields fields);

// Writes the buffered lines as far as standard output accepts them. Must be called a few times per
// second.
void flushStructuredLog();

} // namespace Trefoil
