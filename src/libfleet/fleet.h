#pragma once

// Public header of libfleet: published configuration, endpoints that announce themselves, serving
// groups, placement, seat planning and retry budget. The library makes decisions and performs no
// I/O.

#include "libfleet/departures.h"
#include "libfleet/dialect.h"
#include "libfleet/endpointlimits.h"
#include "libfleet/endpoints.h"
#include "libfleet/enginemodel.h"
#include "libfleet/entryroster.h"
#include "libfleet/groupplanner.h"
#include "libfleet/grouprecord.h"
#include "libfleet/holdoffs.h"
#include "libfleet/memorybudget.h"
#include "libfleet/partquarantine.h"
#include "libfleet/placement.h"
#include "libfleet/promptparts.h"
#include "libfleet/requestevidence.h"
#include "libfleet/retrybudget.h"
#include "libfleet/seatplan.h"
#include "libfleet/serviceconfiguration.h"
#include "libfleet/stopplan.h"
