#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 after the build of the deploy file: it compiles them. Nothing is fetched.
cd "$(dirname "$0")/.." || exit 2
files="review/standins_2.py review/web_2.py review/crowd_2.py"
exec .venv/bin/python -m compileall -q $files review/6 review/7 review/8 review/9 review/10
