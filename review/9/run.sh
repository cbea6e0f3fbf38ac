#!/bin/bash
# Half of the doormans die at once, and their clients come to the other half. TROUBLE=0: nobody dies.
cd "$(dirname "$0")" && exec python3 case.py
