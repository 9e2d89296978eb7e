#!/usr/bin/env bash
# Lays the operators' files, which are not part of this repository, beside our own sites, so that their bench takes
# them: deploy/sites/lay.sh ../given/kit/more
set -euo pipefail
kit="${1:?the kit folder that holds node/ and mass/}"
here="$(cd "$(dirname "$0")" && pwd)"
for site in "$here"/*/; do
    for file in wire.json real.json design.json; do
        cp "$kit/node/sites/$file" "$site$file"
    done
    cat "$kit/node/sites/unlock.txt" "$kit/node/unlock.txt" "$kit/mass/unlock.txt" | sort -u > "${site}unlock.txt"
done
