#pragma once

/// @file
/// Public header of the router library: the way of a request from a caller
/// straight to the backend server that runs it, and the program around it.

#include "router/backend_chooser.h"
#include "router/forwarding_headers.h"
#include "router/owner_directory.h"
#include "router/request_forwarder.h"
#include "router/route_config.h"
#include "router/route_table.h"
#include "router/router_process.h"
