#pragma once

/// @file
/// Public header of the runtime library: fibers over Asio, one loop a thread.

#include "runtime/await.h"
#include "runtime/fiber_loop.h"
#include "runtime/worker_pool.h"
