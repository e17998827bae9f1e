#!/bin/bash
# Checks the stand-ins of the review; they need no third-party package.
set -eu
here="$(cd "$(dirname "$0")" && pwd)"
python3 -m compileall -q "$here/lib"
