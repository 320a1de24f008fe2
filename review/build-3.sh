#!/bin/sh
# Builds the stand-ins of cases 11 to 15 as review/bin/stand-3. It needs no network: they use the
# standard library only.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../bin
GOWORK=off GOPROXY=off go build -o ../bin/stand-3 .
