#pragma once

/// @file
/// Public header of the keys library: the assignment of a service's keys to
/// backend servers, the coordinator that decides it, and the grants that the
/// servers receive for their keys.

#include "keys/coordinator_lease.h"
#include "keys/grant_client.h"
#include "keys/grant_scheduler.h"
#include "keys/key_coordinator.h"
#include "keys/load_aggregator.h"
#include "keys/load_report.h"
#include "keys/load_report_reply.h"
#include "keys/load_share.h"
#include "keys/owner_map.h"
#include "keys/owner_update.h"
#include "keys/owner_versions.h"
#include "keys/service_coordinator.h"
#include "keys/stripe_planner.h"
