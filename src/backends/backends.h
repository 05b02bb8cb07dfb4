#pragma once

/// @file
/// Public header of the backends library: the known backend servers and the
/// load that this gateway observes at each.

#include "backends/backend_directory.h"
#include "backends/backend_entry.h"
#include "backends/backend_target.h"
#include "backends/removed_servers.h"
