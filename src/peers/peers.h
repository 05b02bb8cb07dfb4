#pragma once

/// @file
/// Public header of the library for talking to the system's own processes.

#include "peers/peer_links.h"
#include "peers/peer_message.h"
#include "peers/peer_server.h"
