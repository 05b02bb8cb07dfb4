#pragma once

/// @file
/// Public header of the keys library: which backend server owns which keys of
/// a service, who decides it, and how the owners are granted them.

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
