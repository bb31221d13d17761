"""A randomized soak of real instances on loopback.

Instances are processes as in production; the store, the upstreams, the
callers and the routers are stand-ins in this process. A seed draws the
faults: signals, a store that misbehaves towards some instances, a way to it
that delays, loses answers, falls silent or resets, upstreams that crash, fall
silent, drain, are replaced and start again under their names, entries that
other writers leave, a store that comes back from an older copy, changes of the
configuration. What callers
and upstreams see is judged all along, and that the last configuration is in
force everywhere in the end.

``python -m skylarkfold.soak --seeds 1,2,3`` runs some seeds.
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
