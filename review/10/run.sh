#!/bin/bash
# Two overlapping purges at one gateway of a fleet. TROUBLE=0: one purge.
cd "$(dirname "$0")" && exec python3 case.py
