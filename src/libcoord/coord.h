#pragma once

// Public header of libcoord: replicated log, durable log store, freshness bounds and membership.

#include "libcoord/filesystem.h"
#include "libcoord/freshness.h"
#include "libcoord/logstore.h"
#include "libcoord/membership.h"
#include "libcoord/raft.h"
#include "libcoord/time.h"
