#pragma once

/// @file
/// Public header of the library for operators' commands.

#include "operators/operator_handler.h"
