#!/bin/bash
# Builds what the cases of the second review start beside the program. All stand-ins are Python, so they are only
# compiled to see that the machine's Python takes them; the program itself comes from the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later"'
for folder in lib2 6 7 8 9 10; do
  if [ -d "$folder" ]; then python3 -m compileall -q "$folder"; fi
done
test -x ../build/tinspan
