#!/bin/bash
# Slow readers, and the doorman's memory limit. TROUBLE=0: the same clients read as fast as they can.
cd "$(dirname "$0")" && exec python3 case.py
