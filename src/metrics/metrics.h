#pragma once

/// @file
/// Public header of the metrics library: metrics in the Prometheus text
/// exposition format.

#include "metrics/latency_histogram.h"
