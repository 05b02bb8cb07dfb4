#pragma once

/// @file
/// Public header of the policy library: limits, queueing order, admission,
/// retries, hot keys and quarantined requests. The library does no I/O.

#include "policy/class_controller.h"
#include "policy/concurrency_limit.h"
#include "policy/fleet_size.h"
#include "policy/hot_key_sketch.h"
#include "policy/idempotency_cache.h"
#include "policy/quarantine_limits.h"
#include "policy/quarantine_state.h"
#include "policy/request_quarantine.h"
#include "policy/retry_after_scheduler.h"
#include "policy/retry_budget.h"
#include "policy/server_end_log.h"
#include "policy/server_queue.h"
#include "policy/service_times.h"
#include "policy/trial_permits.h"
