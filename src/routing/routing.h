#pragma once

/// @file
/// Public header of the routing library: from a key to its owner.

#include "routing/request_classifier.h"
#include "routing/routing_table.h"
