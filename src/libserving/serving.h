#pragma once

// Includes the public headers of libserving: control state, groups, request dispatch and queries.

#include "libserving/controlstate.h"
#include "libserving/dispatch.h"
#include "libserving/gate.h"
#include "libserving/language.h"
#include "libserving/origin.h"
#include "libserving/peermessage.h"
#include "libserving/placement.h"
#include "libserving/planner.h"
#include "libserving/query.h"
#include "libserving/routing.h"
