"""Randomized soak test of real instances on loopback.

Instances are processes as in production; the store, upstreams, callers and
routers are stand-ins in this process. A seed determines the faults: signals to
instances, store errors, slow or broken connections to the store, upstreams
that crash, stop responding, drain or restart, invalid store entries, a store
restored from an older copy, and configuration changes.

The invariants are checked throughout against what callers and upstreams
observe. At the end every instance must use the latest configuration.

``python -m skylarkfold.soak --seeds 1,2,3`` runs the given seeds.
"""

from skylarkfold.soak._environment import Environment
from skylarkfold.soak._invariants import InvariantChecker
from skylarkfold.soak._plan import draw_plan
from skylarkfold.soak._run import INSTANCES
from skylarkfold.soak._run import run_plan
from skylarkfold.soak._run import run_seed

__all__ = [
    'Environment',
    'INSTANCES',
    'InvariantChecker',
    'draw_plan',
    'run_plan',
    'run_seed',
]
