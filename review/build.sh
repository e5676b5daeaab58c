#!/bin/sh
# Checks that the stand-ins can be loaded; they are plain Python and need no compiler.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps:review PYTHONDONTWRITEBYTECODE=1 \
    python3 -S -c "import harness.databases, harness.deployment"
