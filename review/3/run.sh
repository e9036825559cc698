#!/bin/sh
# Exits with 1 if reads were never answered, 0 if all were, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
