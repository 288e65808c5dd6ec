#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases under target/; needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r review/rig_2 target/review-2/
python3 -m compileall -q target/review-2
