#pragma once

// Public header of libruntime: clock, event loop threads and their queues, settings, log events and
// metrics.

#include "libruntime/address.h"
#include "libruntime/clock.h"
#include "libruntime/duty.h"
#include "libruntime/events.h"
#include "libruntime/findings.h"
#include "libruntime/metrics.h"
#include "libruntime/ring.h"
#include "libruntime/settings.h"
