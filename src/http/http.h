#pragma once

/// @file
/// Public header of the HTTP library: an HTTP/1.1 client and server based on
/// Boost.Beast and fibers.

#include "http/cancel_on_peer_loss.h"
#include "http/connect_probe.h"
#include "http/connection_pool.h"
#include "http/http_client.h"
#include "http/http_connection.h"
#include "http/http_exchange.h"
#include "http/http_server.h"
#include "http/http_types.h"
#include "http/response_reader.h"
