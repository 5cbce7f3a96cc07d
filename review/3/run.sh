#!/usr/bin/env bash
# Exits with 1 if a stream ended as complete before its last event, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=5 115 python3 run.py
