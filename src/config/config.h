#pragma once

/// @file
/// Public header of the configuration library: the deployment's Configuration,
/// which operators apply, and the settings files of the programs.

#include "config/configuration.h"
#include "config/settings.h"
#include "config/toml_reader.h"
