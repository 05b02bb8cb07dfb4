#pragma once

/// @file
/// Public header of the backends library: which backend servers are known and
/// what this gateway has seen of each.

#include "backends/backend_directory.h"
#include "backends/backend_entry.h"
#include "backends/backend_target.h"
