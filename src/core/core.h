#pragma once

/// @file
/// Public header of the core library: the types that all other libraries use.

#include "core/clock.h"
#include "core/connection_number.h"
#include "core/error.h"
#include "core/id.h"
#include "core/json_text.h"
#include "core/lease_timing.h"
#include "core/log_event.h"
#include "core/stop_schedule.h"
#include "core/table.h"
#include "core/term.h"
#include "core/verdict.h"
