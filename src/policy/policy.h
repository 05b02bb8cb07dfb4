#pragma once

/// @file
/// Public header of the policy library: limits, queueing order, admission,
/// retries and hot keys. The library does no I/O.

#include "policy/class_controller.h"
#include "policy/concurrency_limit.h"
#include "policy/fleet_size.h"
#include "policy/hot_key_sketch.h"
#include "policy/idempotency_cache.h"
#include "policy/retry_after_scheduler.h"
#include "policy/retry_budget.h"
#include "policy/server_queue.h"
#include "policy/service_times.h"
