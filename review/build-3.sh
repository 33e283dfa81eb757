#!/bin/sh
# Builds what the scripts of the third review start, beside the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/third ./review/_third
