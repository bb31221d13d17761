"""Load test tool that runs real processes with traffic and faults.

It checks the load balancer's promises to callers against what callers and
upstreams observe. Production code must not import it, because it starts
processes.
"""

from skylarkfold.load._action import AddUpstream
from skylarkfold.load._action import AnyAction
from skylarkfold.load._action import BreakPlatform
from skylarkfold.load._action import ChangeBehaviour
from skylarkfold.load._action import ChangeWeight
from skylarkfold.load._action import DrainUpstream
from skylarkfold.load._action import KillInstance
from skylarkfold.load._action import KillUpstream
from skylarkfold.load._action import PauseInstance
from skylarkfold.load._action import RaceOperators
from skylarkfold.load._action import ReplaceInstance
from skylarkfold.load._action import UndrainUpstream
from skylarkfold.load._command import print_progress
from skylarkfold.load._command import run
from skylarkfold.load._latency import LatencySummary
from skylarkfold.load._operator import Operator
from skylarkfold.load._ports import choose_subnet
from skylarkfold.load._ports import find_port
from skylarkfold.load._process import Process
from skylarkfold.load._process import ProcessError
from skylarkfold.load._process import run_command
from skylarkfold.load._promises import Drain
from skylarkfold.load._promises import Evidence
from skylarkfold.load._promises import judge
from skylarkfold.load._promises import Promises
from skylarkfold.load._run import run_scenario
from skylarkfold.load._run import RunResult
from skylarkfold.load._scenario import read_scenario
from skylarkfold.load._scenario import Scenario
from skylarkfold.load._scenario import ServiceShape
from skylarkfold.load._table import format_table
from skylarkfold.load._traffic import Datagrams
from skylarkfold.load._traffic import Requests
from skylarkfold.load._traffic import Streams

__all__ = [
    'AddUpstream',
    'AnyAction',
    'BreakPlatform',
    'ChangeBehaviour',
    'ChangeWeight',
    'Datagrams',
    'Drain',
    'DrainUpstream',
    'Evidence',
    'KillInstance',
    'KillUpstream',
    'LatencySummary',
    'Operator',
    'PauseInstance',
    'Process',
    'ProcessError',
    'Promises',
    'RaceOperators',
    'ReplaceInstance',
    'Requests',
    'RunResult',
    'Scenario',
    'ServiceShape',
    'Streams',
    'UndrainUpstream',
    'choose_subnet',
    'find_port',
    'format_table',
    'judge',
    'print_progress',
    'read_scenario',
    'run',
    'run_command',
    'run_scenario',
]
