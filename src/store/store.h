#pragma once

/// @file
/// Public header of the store library: rows in tables that outlive every
/// process, with conditional transactions and feeds of changes.

#include "store/memory_store.h"
#include "store/relayed_store.h"
#include "store/store_client.h"
#include "store/table_follower.h"
#include "store/table_update.h"
