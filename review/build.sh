#!/bin/sh
# Checks the stand-ins that the scripts start; they are Python and need only its standard library.
# The scripts write below a temporary folder, so nothing is left in the repository.
cd "$(dirname "$0")" || exit 1
for file in lib/fleet.py */case.py; do
  python3 - "$file" <<'EOF' || exit 1
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
EOF
done
