#pragma once

// Public header of libfleet: published configuration, endpoints that announce themselves, serving
// groups over them, placement and retry budget. Decisions only.

#include "libfleet/dialect.h"
#include "libfleet/endpoints.h"
#include "libfleet/enginemodel.h"
#include "libfleet/groupplanner.h"
#include "libfleet/placement.h"
#include "libfleet/retrybudget.h"
#include "libfleet/seatplan.h"
#include "libfleet/serviceconfiguration.h"
