#pragma once

/// @file
/// Public header of the routing library: matches requests with the
/// configuration and finds the owner of a key.

#include "routing/request_classifier.h"
#include "routing/routing_table.h"
