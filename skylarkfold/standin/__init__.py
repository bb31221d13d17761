"""Small stand-ins of the platform and of upstreams, for tests and benches.

Nothing here runs in production.
"""

from skylarkfold.standin._behaviour import Behaviour
from skylarkfold.standin._daemon import serve_until_stopped
from skylarkfold.standin._execution import SERVICE_HEADER
from skylarkfold.standin._faults import Faults
from skylarkfold.standin._platform import PlatformStandin
from skylarkfold.standin._platform import run_platform_standin
from skylarkfold.standin._probe import EchoReply
from skylarkfold.standin._probe import FIRST_DATAGRAM
from skylarkfold.standin._probe import make_fill
from skylarkfold.standin._probe import Probe
from skylarkfold.standin._probe import RunAnswer
from skylarkfold.standin._record import FlowRecord
from skylarkfold.standin._record import UpstreamRecord
from skylarkfold.standin._settings import ServiceSettings
from skylarkfold.standin._settings import UpstreamSettings
from skylarkfold.standin._settings import UpstreamStandinSettings
from skylarkfold.standin._upstream import run_upstream_standin
from skylarkfold.standin._upstream import UpstreamStandin

__all__ = [
    'Behaviour',
    'EchoReply',
    'FIRST_DATAGRAM',
    'Faults',
    'FlowRecord',
    'PlatformStandin',
    'Probe',
    'RunAnswer',
    'ServiceSettings',
    'UpstreamRecord',
    'UpstreamSettings',
    'UpstreamStandin',
    'UpstreamStandinSettings',
    'SERVICE_HEADER',
    'make_fill',
    'run_platform_standin',
    'run_upstream_standin',
    'serve_until_stopped',
]
