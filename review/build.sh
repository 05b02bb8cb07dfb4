#!/usr/bin/env bash
# Builds the stand-in of the platform's store, into the build folder of the
# deploy file. The other stand-ins are Python programs below review/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DCURRANTBEAM_TESTS=OFF
cmake --build target --target currantbeam-standin-wire
