#pragma once

/// @file
/// Public header of the operators library, which serves operators' commands.

#include "operators/operator_handler.h"
