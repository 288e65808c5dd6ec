#!/usr/bin/env bash
# Builds the stand-ins of the review's cases; run it after the build line of deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
PYTHONPATH=target/deps:. python3 -c "import review.harness.deployment, review.harness.sites"
