#pragma once

/// @file
/// Public header of the router library: the request path from a caller to the
/// backend server that runs the request, and the process around it.

#include "router/backend_chooser.h"
#include "router/forwarding_headers.h"
#include "router/owner_directory.h"
#include "router/request_forwarder.h"
#include "router/route_config.h"
#include "router/route_table.h"
#include "router/router_process.h"
