#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it runs without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../harness/run_case" "$here"
