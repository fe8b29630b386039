#!/bin/sh
# Builds the stand-ins that the scripts of review 2 (cases 4 to 6) start. They
# are Python files that use the standard library only: the step checks that
# this Python compiles them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins_2.py 4/*.py 5/*.py 6/*.py; do
    [ ! -f "$file" ] || python3 -m py_compile "$file"
done
