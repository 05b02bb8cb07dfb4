#pragma once

/// @file
/// Public header of the platform library: the services that the users'
/// platform provides. docs/PROTOCOLS.md describes the wire form.

#include "platform/http_platform.h"
#include "platform/memory_platform.h"
#include "platform/platform_services.h"
