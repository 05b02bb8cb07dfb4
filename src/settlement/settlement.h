#pragma once

/// @file
/// Public header of the settlement library: accounts of the capacity that
/// neighbours use.

#include "settlement/account.h"
