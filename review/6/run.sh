#!/bin/bash
# SIGHUP with a file in which a key is missing. TROUBLE=0: SIGHUP with a whole file.
cd "$(dirname "$0")" && exec python3 case.py
