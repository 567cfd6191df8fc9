#pragma once

// Public header of libserving: control state, groups, fair shares, routing and outcomes.

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
