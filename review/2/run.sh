#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the cuts. Needs a build (target/).
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps/skylarkfold ]; then
  echo 'no build: run the build command of deploy/system.toml first' >&2
  exit 2
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps \
  exec python3 review/2/run.py
