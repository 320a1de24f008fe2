#!/bin/sh
# Builds the stand-ins of cases 11 to 15 as target/review-3. It needs no network: they use the
# standard library only.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target
GOWORK=off GOPROXY=off GOFLAGS=-mod=mod go build -o ../../target/review-3 .
