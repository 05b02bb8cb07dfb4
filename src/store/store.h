#pragma once

/// @file
/// Public header of the store library: the client of the persistent store,
/// whose tables have conditional transactions and change feeds.

#include "store/call_joining_store.h"
#include "store/circuit_breaker_store.h"
#include "store/copy_fetcher.h"
#include "store/known_hosts.h"
#include "store/memory_store.h"
#include "store/peer_backed_store.h"
#include "store/peer_link.h"
#include "store/peer_reader.h"
#include "store/relayed_store.h"
#include "store/row_delays.h"
#include "store/row_source.h"
#include "store/store_client.h"
#include "store/store_read_request.h"
#include "store/store_version.h"
#include "store/table_follower.h"
#include "store/table_read_server.h"
#include "store/table_update.h"
