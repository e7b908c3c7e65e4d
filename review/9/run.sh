#!/bin/sh
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
# Writes record.txt beside it.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." && exec python3 -B "$here/case.py"
