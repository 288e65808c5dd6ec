#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without its disruption.
cd "$(dirname "$0")" && exec python3 ../../target/review-2/rig_2/play.py .
