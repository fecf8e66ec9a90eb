#!/bin/sh
# Prepares what the cases 6 to 10 start: the stand-ins are Python scripts of the
# standard library, so there is nothing to compile beside a check of their syntax.
set -eu
cd "$(dirname "$0")"
for script in lab-2/*.py [6-9]/*.py 10/*.py; do
    if [ -f "$script" ]; then
        python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$script"
    fi
done
