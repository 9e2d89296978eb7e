#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files of this folder and of lanelead/testbed, run by the
# interpreter that the build of the deploy file leaves in .venv: compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review lanelead
