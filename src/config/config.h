#pragma once

/// @file
/// Public header of the configuration library: what operators state, and the
/// settings of each program.

#include "config/configuration.h"
#include "config/settings.h"
#include "config/toml_reader.h"
