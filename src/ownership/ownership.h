#pragma once

/// @file
/// Public header of the ownership library, which decides which backend server
/// owns each slot, which gateway drives each server, and which placer is
/// active. The library does no I/O.

#include "ownership/document.h"
#include "ownership/driven_server_set.h"
#include "ownership/driver_table.h"
#include "ownership/election.h"
#include "ownership/gateway_agent.h"
#include "ownership/grant.h"
#include "ownership/host_list.h"
#include "ownership/messages.h"
#include "ownership/placement_planner.h"
#include "ownership/placer.h"
#include "ownership/placer_follower.h"
#include "ownership/segment.h"
