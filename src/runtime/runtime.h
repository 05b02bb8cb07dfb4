#pragma once

/// @file
/// Public header of the runtime library: fibers on Asio, one event loop per
/// thread.

#include "runtime/await.h"
#include "runtime/fiber_event.h"
#include "runtime/fiber_loop.h"
#include "runtime/fiber_step.h"
#include "runtime/worker_pool.h"
