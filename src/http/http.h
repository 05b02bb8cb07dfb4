#pragma once

/// @file
/// Public header of the HTTP library: Boost.Beast on fibers.

#include "http/answer_source.h"
#include "http/call_watch.h"
#include "http/http_client.h"
#include "http/http_exchange.h"
#include "http/http_server.h"
#include "http/http_types.h"
