#!/bin/sh
# Exits with 1 if the node went over its memory limit and was killed, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
