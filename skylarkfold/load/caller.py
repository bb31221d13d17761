"""Entry point of ``python -m skylarkfold.load.caller PLAN``."""

import sys

import uvloop

from skylarkfold.load import _caller

if __name__ == '__main__':
    uvloop.run(_caller.serve(sys.argv[1]))
