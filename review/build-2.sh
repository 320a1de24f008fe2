#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off go -C review/stand-2 build -o ../../target/stand2 .
