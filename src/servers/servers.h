#pragma once

/// @file
/// Public header of the library for talking to backend servers.

#include "servers/backend_client.h"
#include "servers/http_backend_client.h"
