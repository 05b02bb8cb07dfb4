#pragma once

/// @file
/// Public header of the keys library: which backend server owns which keys of
/// a service, who decides it, and how the owners are granted them.

#include "keys/grant_client.h"
#include "keys/keeper_advice.h"
#include "keys/keeper_lease.h"
#include "keys/kept_service.h"
#include "keys/key_keeper.h"
#include "keys/load_report.h"
#include "keys/load_share.h"
#include "keys/load_view.h"
#include "keys/owner_map.h"
#include "keys/owner_update.h"
#include "keys/owner_versions.h"
#include "keys/service_keeper.h"
#include "keys/stripe_planner.h"
