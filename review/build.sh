#!/bin/bash
# Compiles the stand-ins and the cases of the review; they need Python's standard library only.
set -eu
here="$(cd "$(dirname "$0")" && pwd)"
PYTHONPYCACHEPREFIX="$here/../target/review" python3 -m compileall -q "$here"
