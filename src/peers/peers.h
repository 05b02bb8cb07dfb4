#pragma once

/// @file
/// Public header of the library for messages between processes of the system.

#include "peers/peer_client.h"
#include "peers/peer_message.h"
#include "peers/peer_server.h"
