#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand2 ] && [ -x target/filberthaven ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
exec target/stand2 late-start review/10/record.txt
