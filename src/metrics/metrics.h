#pragma once

/// @file
/// Public header of the metrics library: what is counted and timed, in the
/// text exposition format that common scrapers read.

#include "metrics/latency_histogram.h"
