#pragma once

/// @file
/// Public header of the settlement library: the account of capacity drawn.

#include "settlement/account.h"
