#!/bin/bash
# Requests that a gateway has taken when it is told to end. TROUBLE=0: it is not told.
cd "$(dirname "$0")" && exec python3 case.py
