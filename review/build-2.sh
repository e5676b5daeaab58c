#!/usr/bin/env bash
# Run once after the build of deploy/system.toml, before the scripts of cases 6 and on.
# The stand-ins are Python modules of this repository, so there is nothing to compile:
# this checks that they load with the dependencies that the build has placed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD/target/deps" exec python3 -S -c "import celeryfold.platform.standins"
